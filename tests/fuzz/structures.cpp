#include "structures.hpp"

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

namespace loftrouter::fuzz {

namespace {

constexpr char kBreak = '\xff';
constexpr std::size_t kMaxProgramBytes = 24;

// Reads a program byte by byte; zeros follow its end.
class Program {
public:
  explicit Program(std::string_view bytes) : rest_(bytes) {}
  bool done() const { return rest_.empty(); }
  unsigned next() {
    if (rest_.empty()) return 0;
    const auto byte = static_cast<unsigned char>(rest_.front());
    rest_.remove_prefix(1);
    return byte;
  }

private:
  std::string_view rest_;
};

class StructureBuilder {
public:
  std::string build(Program program) {
    while (!program.done() && body_.size() < kLargestBodyBytes)
      execute(program);
    return body_.substr(0, kLargestBodyBytes);
  }

private:
  enum class Instruction : std::uint8_t {
    AnyHead,      // with the operand's bytes as its argument
    OpenLists,    // of indefinite length
    OpenMaps,     // of indefinite length, each at a key
    OpenTexts,    // of indefinite length
    OpenBytes,    // of indefinite length
    NestLists,    // of one element
    NestMaps,     // of one entry, each at its key
    TextPiece,    // a short text
    Close,        // a number of breaks
    CloseAll,     // as many breaks as were opened
    RepeatToFull, // all of the body so far, up to the largest size
    CutOff        // the last bytes
  };
  static constexpr unsigned kInstructions = 12;

  void execute(Program &program) {
    const auto instruction = static_cast<Instruction>(program.next() % kInstructions);
    switch (instruction) {
    case Instruction::AnyHead:
      body_ += static_cast<char>(program.next());
      body_.append(program.next() % 9, static_cast<char>(program.next()));
      return;
    case Instruction::OpenLists:
      return open('\x9f', program.next());
    case Instruction::OpenMaps:
      return open('\xbf', program.next());
    case Instruction::OpenTexts:
      return open('\x7f', program.next());
    case Instruction::OpenBytes:
      return open('\x5f', program.next());
    case Instruction::NestLists:
      body_.append(program.next(), '\x81');
      return;
    case Instruction::NestMaps:
      for (unsigned count = program.next(); count > 0; --count)
        body_ += "\xa1\x60";
      return;
    case Instruction::TextPiece:
      body_ += static_cast<char>(0x60 + program.next() % 24);
      body_.append(static_cast<unsigned char>(body_.back()) - 0x60U, 'a');
      return;
    case Instruction::Close:
      body_.append(program.next(), kBreak);
      return;
    case Instruction::CloseAll:
      body_.append(opened_, kBreak);
      return;
    case Instruction::RepeatToFull:
      if (!body_.empty()) body_ = repeated(body_);
      return;
    case Instruction::CutOff:
      body_.resize(body_.size() - std::min<std::size_t>(body_.size(), program.next()));
      return;
    }
  }

  // Operands from 128 stand for many: up to the whole body.
  void open(char head, unsigned operand) {
    const std::size_t count = operand < 128 ? operand : (operand - 127) * std::size_t{512};
    opened_ += count;
    body_.append(count, head);
  }

  std::string body_;
  std::size_t opened_ = 0;
};

class WellFormedWriter {
public:
  explicit WellFormedWriter(unsigned seed) : rng_(seed) {}

  void value(std::size_t depth) {
    switch (rng_() % (depth > 0 ? 9 : 7)) {
    case 0:
      return head(0, rng_() >> rng_() % 32);
    case 1:
      return head(1, rng_() >> rng_() % 32);
    case 2:
      return text("value");
    case 3:
      return text("");
    case 4:
      out_ += static_cast<char>(0xf4 + rng_() % 3);
      return;
    case 5:
      out_ += "\xf9\x3c";
      out_ += '\0';
      return;
    case 6:
      out_ += '\xfb';
      out_ += "\x3f\xf8";
      out_.append(6, '\0');
      return;
    case 7:
      return container(4, depth - 1);
    default:
      return container(5, depth - 1);
    }
  }

  std::string take() { return std::move(out_); }

private:
  static constexpr unsigned kIndefinite = 31;

  void initial_byte(unsigned type, unsigned info) { out_ += static_cast<char>(type << 5 | info); }

  // In the shortest form or, now and then, a longer one.
  void head(unsigned type, std::uint64_t argument) {
    unsigned size_class = argument < 24 ? 0 : argument < 256 ? 1 : argument < 65536 ? 2 : argument >> 32 ? 4 : 3;
    if (rng_() % 8 == 0) size_class = 4;
    if (size_class == 0) return initial_byte(type, static_cast<unsigned>(argument));
    initial_byte(type, 23 + size_class);
    for (int shift = 8 * ((1 << (size_class - 1)) - 1); shift >= 0; shift -= 8)
      out_ += static_cast<char>(argument >> shift);
  }

  void text(const std::string &content) {
    if (rng_() % 3) {
      head(3, content.size());
      out_ += content;
      return;
    }
    initial_byte(3, kIndefinite);
    for (const char character : content) {
      head(3, 1);
      out_ += character;
      if (rng_() % 4 == 0) text(""); // a text in pieces may contain another one
    }
    out_ += kBreak;
  }

  void container(unsigned type, std::size_t depth) {
    const unsigned count = rng_() % 4;
    const bool indefinite = rng_() % 2;
    if (indefinite)
      initial_byte(type, kIndefinite);
    else
      head(type, count);
    for (unsigned i = 0; i < count; ++i) {
      if (type == 5) text("key" + std::to_string(++keys_));
      value(depth);
    }
    if (indefinite) out_ += kBreak;
  }

  std::mt19937 rng_;
  std::string out_;
  int keys_ = 0;
};

} // namespace

std::string repeated(std::string_view unit) {
  std::string body;
  body.reserve(kLargestBodyBytes + unit.size());
  while (body.size() < kLargestBodyBytes)
    body += unit;
  body.resize(kLargestBodyBytes);
  return body;
}

std::string build_structure(std::string_view program) {
  return StructureBuilder().build(Program(program));
}

std::string draw_program(unsigned seed) {
  std::mt19937 rng(seed);
  std::string program(2 + rng() % kMaxProgramBytes, '\0');
  for (char &byte : program)
    byte = static_cast<char>(rng());
  return program;
}

std::string draw_well_formed(unsigned seed, std::size_t depth) {
  WellFormedWriter writer(seed);
  writer.value(depth);
  return writer.take();
}

} // namespace loftrouter::fuzz

// The links between regions: each address under which a region dials a controller of another is a relay, so that the
// frames can be counted and the links cut. A cut holds everything back, without an error, and delivers it late.
//
// Lines to the runner:   count frames N bytes N
// Lines from the runner: cut REGION | join REGION
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "channel.hpp"
#include "loftrouter/net/loop.hpp"

namespace loftrouter::scale {

struct LinkAddress {
  int from = 0, to = 0;       // regions
  std::string listen, target; // the relay's address, and the controller's
};

class Links {
public:
  // Throws std::runtime_error if an address cannot be listened on.
  Links(net::Loop &loop, LineChannel &runner, const std::vector<LinkAddress> &addresses);
  ~Links();
  void on_line(std::string_view line);

private:
  struct Pipe;
  struct Door;
  void accept_on(Door &door);
  void move(Pipe &pipe, bool outwards);
  bool cut(const Pipe &pipe) const;
  void arm(Pipe &pipe);
  void sweep();

  net::Loop &loop_;
  LineChannel &runner_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::vector<std::unique_ptr<Pipe>> pipes_;
  std::set<int> cut_;
  net::Timer sweep_;
  std::uint64_t frames_ = 0, bytes_ = 0;
};

} // namespace loftrouter::scale

// Links between controllers: each dials every sibling, and a leader nodes of other cells, and asks; answers come on the
// same link. The latter are numbered after the siblings.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "loftrouter/net/loop.hpp"

namespace loftrouter::net {

using LinkId = std::uint64_t;

class PeerLinks {
public:
  // Called with what has arrived; takes whole frames off the buffer, false closes the link. `replica` is
  // the index of the one dialled, or -1 on links that others opened.
  using Reader = std::function<bool(LinkId, int replica, std::string &buffer)>;

  PeerLinks(Loop &loop, Fd listener, std::vector<Address> replicas, Reader reader);
  ~PeerLinks();
  void send_to_replica(int replica, std::string_view bytes); // dials if need be; drops what cannot be sent
  void send_on(LinkId link, std::string_view bytes);
  std::uint32_t remote_ip(LinkId link) const; // host order; 0: no such link
  void send_all();                            // what the two above have taken: frames of one batch leave together

private:
  struct Link;
  void accept_ready();
  Link *open(Fd fd, int replica);
  void on_io(Link &link, int events);
  void flush(Link &link);
  void close(Link &link);
  void sweep();

  Loop &loop_;
  Fd listener_;
  std::vector<Address> replicas_;
  std::vector<LinkId> dialled_;
  Reader reader_;
  IoWatch accept_watch_;
  Timer sweep_timer_;
  LinkId next_ = 1;
  std::unordered_map<LinkId, std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<Link>> graveyard_;
  std::vector<LinkId> unsent_;
};

} // namespace loftrouter::net

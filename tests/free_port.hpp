// A loopback port that nobody listens on just now.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace loftrouter::test {

inline int free_port() {
  int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t len = sizeof sa;
  int port = 0;
  if (::bind(fd, reinterpret_cast<sockaddr *>(&sa), sizeof sa) == 0 &&
      ::getsockname(fd, reinterpret_cast<sockaddr *>(&sa), &len) == 0)
    port = ntohs(sa.sin_port);
  ::close(fd);
  return port;
}

} // namespace loftrouter::test

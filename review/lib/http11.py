"""A small HTTP/1.1 server and client on asyncio, with bodies in CBOR."""
import asyncio

import cbor


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """Calls `handler(method, target, body)`, a coroutine that returns (status, value). A status of None closes the
    connection without a response."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await _read_head(reader)
                method, target, _ = line.split(" ", 2)
                raw = await reader.readexactly(int(headers.get("content-length", "0")))
                body = cbor.decode(raw) if raw else {}
                status, value = await self.handler(method, target, body)
                if status is None:
                    return
                out = b"" if value is None else cbor.encode(value)
                writer.write(f"HTTP/1.1 {status} Status\r\nContent-Type: application/cbor\r\n"
                             f"Content-Length: {len(out)}\r\n\r\n".encode() + out)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Client:
    """One connection to one address, kept open; one request at a time."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, target, value=None, wait_s=5.0, bad_body=None):
        """Returns (status, value); status 0 if there is no response in time, (-1, reason) if the response's body cannot be
        decoded."""
        try:
            return await asyncio.wait_for(self._call(method, target, value), wait_s)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
            self.close()
            return 0, None

    async def _call(self, method, target, value):
        if not self.writer or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        raw = b"" if value is None else cbor.encode(value)
        self.writer.write(f"{method} {target} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\n"
                          f"Content-Type: application/cbor\r\nContent-Length: {len(raw)}\r\n\r\n".encode() + raw)
        await self.writer.drain()
        line, headers = await _read_head(self.reader)
        status = int(line.split(" ")[1])
        raw = await self.reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        if not raw or "cbor" not in headers.get("content-type", "cbor"):
            return status, raw
        try:
            return status, cbor.decode(raw)
        except (ValueError, KeyError, IndexError) as problem:
            return -1, str(problem)

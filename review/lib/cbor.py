"""CBOR for maps keyed by text, lists, text, numbers, booleans and null. Rejects malformed input, including text that is
not UTF-8 (RFC 8949 calls such a text invalid)."""
import struct


def _head(major, value):
    if value < 24:
        return bytes([major << 5 | value])
    for code, fmt, limit in ((24, ">B", 1 << 8), (25, ">H", 1 << 16), (26, ">I", 1 << 32), (27, ">Q", 1 << 64)):
        if value < limit:
            return bytes([major << 5 | code]) + struct.pack(fmt, value)
    raise ValueError("integer too large")


def encode(value):
    if value is None:
        return b"\xf6"
    if value is True:
        return b"\xf5"
    if value is False:
        return b"\xf4"
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        text = value.encode()
        return _head(3, len(text)) + text
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(encode(item) for item in value)
    if isinstance(value, dict):
        return _head(5, len(value)) + b"".join(encode(key) + encode(item) for key, item in value.items())
    raise TypeError(type(value))


def decode(data):
    value, end = _decode(data, 0)
    if end != len(data):
        raise ValueError("bytes after the value")
    return value


def _decode(data, at):
    first = data[at]
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info in (20, 21, 22):
            return {20: False, 21: True, 22: None}[info], at
        size, fmt = {25: (2, ">e"), 26: (4, ">f"), 27: (8, ">d")}[info]
        return struct.unpack(fmt, data[at:at + size])[0], at + size
    if info < 24:
        count = info
    else:
        size, fmt = {24: (1, ">B"), 25: (2, ">H"), 26: (4, ">I"), 27: (8, ">Q")}[info]
        count = struct.unpack(fmt, data[at:at + size])[0]
        at += size
    if major == 0:
        return count, at
    if major == 1:
        return -1 - count, at
    if major == 3:
        if at + count > len(data):
            raise ValueError("short text")
        return data[at:at + count].decode("utf-8"), at + count
    if major == 4:
        items = []
        for _ in range(count):
            item, at = _decode(data, at)
            items.append(item)
        return items, at
    if major == 5:
        entries = {}
        for _ in range(count):
            key, at = _decode(data, at)
            entries[key], at = _decode(data, at)
        return entries, at
    raise ValueError("unexpected type")

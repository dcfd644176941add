"""HTTP/1.1 messages on asyncio streams, as the users' pages describe them."""

import asyncio


class Message:
    """A request or response: its first line, headers in lower case, and body."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ", 2)[1])

    @property
    def method(self):
        return self.first.split(" ", 1)[0]

    @property
    def target(self):
        return self.first.split(" ", 2)[1]


async def read_head(reader):
    """Reads the first line and the headers; `None` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Reads one chunk of a body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, message):
    """Reads the body of a request or response that has a length or chunks."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
    return message


async def read_message(reader):
    """Reads a message; `None` if the connection ends before its end."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        return await read_body(reader, message)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def encode(first, headers, body=b""):
    """Returns a message with a length."""
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def abort(writer):
    """Resets or closes a connection without waiting."""
    if writer.transport is not None:
        writer.transport.abort()

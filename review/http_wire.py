"""Minimal HTTP/1.1 for the stand-ins: reads and writes whole messages."""

import asyncio
from dataclasses import dataclass, field

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    first_line: str
    headers: list = field(default_factory=list)
    body: bytes = b""

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])

    def header(self, name):
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def all(self, name):
        return [value for key, value in self.headers if key == name]


async def read_message(reader):
    """Return the next message, or None at the end of the connection.

    An end in the middle of a message raises EOFError.
    """
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            if head:
                raise EOFError("the connection ended within a head")
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    message = Message(first_line=lines[0], headers=headers)
    try:
        if (message.header("transfer-encoding") or "").lower() == "chunked":
            message.body = await _read_chunks(reader)
        elif (length := message.header("content-length")) is not None:
            message.body = await reader.readexactly(int(length))
    except asyncio.IncompleteReadError as error:
        raise EOFError("the connection ended within a body") from error
    return message


read_request = read_message


async def _read_chunks(reader):
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    while (await reader.readline()).strip():
        pass
    return body


def response_bytes(status, headers, body):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def request_bytes(method, target, headers, body=b""):
    """Return a request; one with a body states its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

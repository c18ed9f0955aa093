"""HTTP messages of the fault soak's callers, instances and store."""
import asyncio


class HttpError(Exception):
    """What was read is no whole message."""


async def read_message(reader):
    """The first line, the headers and the body of one message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return lines[0], headers, body
    length = int(headers.get("content-length", "0"))
    return lines[0], headers, await reader.readexactly(length)


def format_answer(status, headers, body):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return text.encode() + b"\r\n" + body


class KeptConnections:
    """Connections that are used for further requests to the same address."""

    def __init__(self):
        self.idle = {}  # Address -> (reader, writer)

    async def take(self, address):
        return self.idle.pop(address, None) or await asyncio.open_connection(*address)

    def give_back(self, address, connection):
        if address in self.idle:
            connection[1].close()
        else:
            self.idle[address] = connection

    def close(self):
        for _, writer in self.idle.values():
            writer.close()


async def call(
    address, method, target, headers=None, body=b"", timeout=2.0, kept=None
):
    """One request: status, headers, body. On a connection of its own, unless
    `kept` has connections."""

    async def exchange():
        connection = await (
            kept.take(address) if kept else asyncio.open_connection(*address)
        )
        reader, writer = connection
        reusable = False
        try:
            text = f"{method} {target} HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
            for name, value in (headers or {}).items():
                text += f"{name}: {value}\r\n"
            writer.write(text.encode() + b"\r\n" + body)
            line, got, answer = await read_message(reader)
            reusable = kept is not None and got.get("connection") != "close"
            return int(line.split()[1]), got, answer
        finally:
            if reusable:
                kept.give_back(address, connection)
            else:
                writer.close()

    return await asyncio.wait_for(exchange(), timeout)

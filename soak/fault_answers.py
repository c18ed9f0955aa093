"""Answers of instances that are broken: cut off, reset, or no valid HTTP."""
import random
import socket
import struct

from fault_http import format_answer

DECOY = b"not-an-answer"


def reset_on_close(writer):
    """Without it the connection ends in order, and so does its answer."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )


class BrokenAnswers:
    def __init__(self, soak, seed):
        self.soak = soak
        # Separate, so that broken answers do not change the schedule of a seed.
        self.rng = random.Random(seed + 9_000_000)

    def make(self, headers, content):
        """The bytes to send, and whether the connection is then reset."""
        whole = format_answer(200, headers, content)
        head, body = whole.split(b"\r\n\r\n", 1)
        lines = head.split(b"\r\n")
        unframed = [line for line in lines if not line.startswith(b"Content-Length")]
        decoy = format_answer(200, headers, DECOY)
        cut = len(content) // 2
        no_length = b"\r\n".join(unframed)

        def with_line(line):
            return b"\r\n".join([lines[0], line, *lines[1:]]) + b"\r\n\r\n" + body

        def chunked(end):
            size = b"%x" % len(body)
            return (
                no_length
                + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
                + size
                + b"\r\n"
                + body
                + end
            )

        return self.rng.choice(
            [
                (whole[:-cut], False),
                (whole[:-cut], True),
                (no_length + b"\r\n\r\n" + body[:cut], True),
                (b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + decoy, False),
                (whole.replace(b" 200 ", b" 600 ", 1), False),
                (whole.replace(b" 200 ", b" 0200 ", 1), False),
                (with_line(b"X Name: 1"), False),
                (with_line(b"X-Name : 1"), False),
                (with_line(b"X-Name: \x01"), False),
                (with_line(b"Content-Length: 4"), False),
                (chunked(b"xx0\r\n\r\n"), False),
                (chunked(b"\r\n"), False),
            ]
        )

    def check(self, request, status, headers, body):
        """`headers` and `body` are those of an answer that a client got."""
        if not 200 <= status <= 599:
            self.soak.fail(f"{request} got status {status}")
        for name, value in headers.items():
            if " " in name or any(ord(c) < 32 and c != "\t" for c in value):
                self.soak.fail(f"{request} got the header {name!r}: {value!r}")
        if DECOY in body:
            self.soak.fail(f"{request} got what stood behind another head")

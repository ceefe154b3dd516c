"""A stand-in proxy's side of Envoy's `ext_proc` v3: gRPC over HTTP/2 without TLS, as far as the cases need it.

Written from the public specifications (RFC 9113, RFC 7541, the gRPC wire format, ext_proc v3). Header blocks that the
processor sends are not decoded: only its messages matter here.
"""

import asyncio
import struct

PATH = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE = 0, 1, 3, 4, 6, 7, 8
END_STREAM, END_HEADERS, ACK = 1, 4, 1
CANCEL = 8


def varint(number):
    out = b""
    while number > 127:
        out += bytes([number & 127 | 128])
        number >>= 7
    return out + bytes([number])


def field(number, data):
    return varint(number << 3 | 2) + varint(len(data)) + data


def fields(data):
    """The fields of a message: (number, value); a value is an integer or bytes."""
    at, out = 0, []

    def read():
        nonlocal at
        value = shift = 0
        while True:
            byte = data[at]
            at += 1
            value |= (byte & 127) << shift
            shift += 7
            if byte < 128:
                return value

    while at < len(data):
        key = read()
        if key & 7 == 0:
            out.append((key >> 3, read()))
        elif key & 7 == 2:
            length = read()
            out.append((key >> 3, data[at:at + length]))
            at += length
        else:
            at += 8 if key & 7 == 1 else 4
            out.append((key >> 3, b""))
    return out


def first(data, *path):
    for number in path:
        data = next((value for key, value in fields(data) if key == number), None)
        if data is None:
            return None
    return data


def http_headers(headers):
    listed = b"".join(field(1, field(1, name.encode()) + field(3, value.encode())) for name, value in headers)
    return field(1, listed) + varint(3 << 3) + b"\x01"  # end_of_stream


def request_headers(headers):
    return field(2, http_headers(headers))


def response_headers(headers, details=None):
    """The response's headers; with the proxy's response code details, if the proxy made the response itself."""
    message = field(3, http_headers(headers))
    if details:
        value = field(1, field(1, b"response.code_details") + field(2, field(3, details.encode())))
        message += field(9, field(1, b"envoy.filters.http.ext_proc") + field(2, value))
    return message


class Verdict:
    """The processor's answer to request headers."""

    def __init__(self, message):
        self.headers = {}
        self.status = None
        self.extends = False
        immediate, common = first(message, 7), first(message, 1, 1)
        if immediate is not None:
            self.status = first(immediate, 1, 1)
            mutation = first(immediate, 2)
        else:
            mutation = first(common, 2) if common is not None else None
            self.extends = common is None
        for number, option in fields(mutation or b""):
            if number == 1:
                header = first(option, 1)
                name, value, raw = first(header, 1), first(header, 2), first(header, 3)
                self.headers[name.decode()] = (raw or value or b"").decode()


class Processor:
    """One HTTP/2 connection to a processor."""

    async def connect(self, host, port):
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.next_stream, self.streams = 1, {}
        self.writer.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + self.frame(SETTINGS, 0, 0, b""))
        self.writer.write(self.frame(WINDOW_UPDATE, 0, 0, struct.pack(">I", 1 << 24)))
        self.reading = asyncio.ensure_future(self.read())
        return self

    @staticmethod
    def frame(kind, flags, stream, payload):
        return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload

    def open(self):
        """Opens a call. Returns its number; its messages come in its queue, None at its end."""
        stream = self.next_stream
        self.next_stream += 2
        self.streams[stream] = asyncio.Queue()
        self.buffers = getattr(self, "buffers", {})
        self.buffers[stream] = b""
        block = b""
        for name, value in [(b":method", b"POST"), (b":scheme", b"http"), (b":path", PATH),
                            (b":authority", b"processor"), (b"content-type", b"application/grpc"),
                            (b"te", b"trailers")]:
            block += b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value
        self.writer.write(self.frame(HEADERS, END_HEADERS, stream, block))
        return stream

    def send(self, stream, message):
        self.writer.write(self.frame(DATA, 0, stream, b"\0" + struct.pack(">I", len(message)) + message))

    def reset(self, stream):
        self.streams.pop(stream, None)
        self.writer.write(self.frame(RST_STREAM, 0, stream, struct.pack(">I", CANCEL)))

    def finish(self, stream):
        self.writer.write(self.frame(DATA, END_STREAM, stream, b""))

    async def read(self):
        try:
            while True:
                head = await self.reader.readexactly(9)
                length = int.from_bytes(head[:3], "big")
                kind, flags, stream = head[3], head[4], int.from_bytes(head[5:], "big")
                payload = await self.reader.readexactly(length)
                queue = self.streams.get(stream)
                if kind == SETTINGS and not flags & ACK:
                    self.writer.write(self.frame(SETTINGS, ACK, 0, b""))
                elif kind == PING and not flags & ACK:
                    self.writer.write(self.frame(PING, ACK, 0, payload))
                elif kind == DATA and queue is not None:
                    self.buffers[stream] += payload
                    buffer = self.buffers[stream]
                    while len(buffer) >= 5 and len(buffer) >= 5 + int.from_bytes(buffer[1:5], "big"):
                        size = int.from_bytes(buffer[1:5], "big")
                        queue.put_nowait(buffer[5:5 + size])
                        buffer = buffer[5 + size:]
                    self.buffers[stream] = buffer
                if queue is not None and (kind == RST_STREAM or kind in (DATA, HEADERS) and flags & END_STREAM):
                    queue.put_nowait(None)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            for queue in self.streams.values():
                queue.put_nowait(None)

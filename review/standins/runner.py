"""Stand-in of a runner, as a process of its own.

It runs each request that names it in Vanillakeel-Expect-Instance and reports on its standard output, one JSON
object a line, what it runs and what it has written. Its entry in the store is written by the script, as the
platform does.

The kind of answer is chosen by the path:
  /stream/..  a stream of EVENTS events, one write each, one each GAP_MS; the last one is marked
  /report/..  a body of BODY_BYTES, written in PIECES pieces, one each GAP_MS
With --crash-part, a prompt with that part (Vanillakeel-Prefix-Hash) ends the process as it begins to answer.
Without a length (--framing connection) the answer ends with its connection.
"""

import argparse
import json
import os
import socket
import sys
import threading
import time

parser = argparse.ArgumentParser()
parser.add_argument("--id", required=True)
parser.add_argument("--host", default="127.0.0.1")
parser.add_argument("--framing", choices=["connection", "length", "chunks"], default="connection")
parser.add_argument("--events", type=int, default=40)
parser.add_argument("--pieces", type=int, default=4)
parser.add_argument("--body-bytes", type=int, default=4800)
parser.add_argument("--gap-ms", type=int, default=100)
parser.add_argument("--work-ms", type=int, default=20)
parser.add_argument("--crash-part", help="id of a part of prompts on which the process crashes when it begins to answer")
args = parser.parse_args()

lock = threading.Lock()


def report(**fields):
    line = json.dumps({"runner": args.id, **fields}) + "\n"
    with lock:
        sys.stdout.write(line)
        sys.stdout.flush()


def read_request(reader):
    line = reader.readline()
    if not line:
        return None
    method, path, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = reader.readline().decode().rstrip("\r\n")
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return method, path, headers, body


def pieces_of(path, headers):
    if path.startswith("/stream/"):
        first = int(headers.get("last-event-id", 0)) + 1
        for n in range(first, args.events + 1):
            end = " end" if n == args.events else ""
            yield f"id: {n}\ndata: piece {n} of {args.events}{end}\n\n".encode()
        return
    size = args.body_bytes // args.pieces
    for n in range(args.pieces):
        yield (b"%06d" % n).ljust(size, b".")


def serve(connection):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = connection.makefile("rb")
    try:
        while True:
            request = read_request(reader)
            if request is None:
                return
            method, path, headers, body = request
            rid = headers.get("vanillakeel-request-id", "")
            if headers.get("vanillakeel-expect-instance", args.id) != args.id:
                head = f"HTTP/1.1 421 Misdirected Request\r\nVanillakeel-Request-Id: {rid}\r\n"
                head += f"Vanillakeel-Instance-Id: {args.id}\r\nContent-Length: 0\r\n\r\n"
                connection.sendall(head.encode())
                continue
            report(event="runs", id=rid, method=method, path=path, body_bytes=len(body))
            time.sleep(args.work_ms / 1000)
            parts = [part.split(":")[0] for part in headers.get("vanillakeel-prefix-hash", "").split(",")]
            if args.crash_part in parts:
                report(event="crashes", id=rid)
                os._exit(1)
            report(event="begins", id=rid)
            is_stream = path.startswith("/stream/")
            head = f"HTTP/1.1 200 OK\r\nVanillakeel-Request-Id: {rid}\r\n"
            head += f"Vanillakeel-Response-Seal: {args.id}.{rid}\r\n"
            head += f"Content-Type: {'text/event-stream' if is_stream else 'text/plain'}\r\n"
            pieces = list(pieces_of(path, headers))
            if args.framing == "length":
                head += f"Content-Length: {sum(map(len, pieces))}\r\n"
            elif args.framing == "chunks":
                head += "Transfer-Encoding: chunked\r\n"
            else:
                head += "Connection: close\r\n"
            connection.sendall(head.encode() + b"\r\n")
            for piece in pieces:
                framed = b"%x\r\n%s\r\n" % (len(piece), piece) if args.framing == "chunks" else piece
                connection.sendall(framed)
                time.sleep(args.gap_ms / 1000)
            if args.framing == "chunks":
                connection.sendall(b"0\r\n\r\n")
            report(event="ends", id=rid, pieces=len(pieces))
            if args.framing == "connection":
                return
    except OSError as e:
        report(event="caller gone", error=str(e))
    finally:
        reader.close()
        connection.close()


listener = socket.create_server((args.host, 0), backlog=256)
report(event="listens", address="%s:%d" % listener.getsockname())


def accept():
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


threading.Thread(target=accept, daemon=True).start()
# The script ends the process: by a line on its input as the planned end, or by a signal as a crash.
sys.stdin.readline()
os._exit(0)

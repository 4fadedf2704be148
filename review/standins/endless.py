"""Stand-in of a runner in trouble, as a process of its own: it answers each request with interim heads without end,
until its caller closes the connection. The script
switches the trouble on and off by lines on its input; without it, the runner answers with a short stream."""

import argparse
import json
import socket
import sys
import threading

parser = argparse.ArgumentParser()
parser.add_argument("--id", required=True)
parser.add_argument("--host", default="127.0.0.1")
args = parser.parse_args()

in_trouble = threading.Event()
lock = threading.Lock()


def report(**fields):
    with lock:
        print(json.dumps({"runner": args.id, **fields}), flush=True)


def serve(connection):
    rid, sent = "", 0
    try:
        data = b""
        while b"\r\n\r\n" not in data:
            got = connection.recv(65536)
            if not got:
                return
            data += got
        head, body = data.split(b"\r\n\r\n", 1)
        headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        rid = headers[b"vanillakeel-request-id"].decode()
        left = int(headers.get(b"content-length", 0)) - len(body)
        while left > 0:
            left -= len(connection.recv(left))
        report(event="runs", id=rid)
        if in_trouble.is_set():
            head = f"HTTP/1.1 102 Processing\r\nDate: Sat, 05 Dec 2026 07:00:00 GMT\r\nConnection: keep-alive\r\n"
            block = f"{head}Vanillakeel-Request-Id: {rid}\r\n\r\n".encode() * 10_000
            while True:
                connection.sendall(block)
                sent += len(block)
        head = f"HTTP/1.1 200 OK\r\nVanillakeel-Request-Id: {rid}\r\nVanillakeel-Response-Seal: {args.id}.{rid}\r\n"
        head += "Content-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        event = b"id: 1\ndata: piece 1 of 1 end\n\n"
        connection.sendall(head.encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
    except OSError as e:
        report(event="caller has closed", id=rid, sent_mb=sent >> 20, error=type(e).__name__)
    finally:
        connection.close()


listener = socket.create_server((args.host, 0), backlog=256)
report(event="listens", address="%s:%d" % listener.getsockname())


def accept():
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


threading.Thread(target=accept, daemon=True).start()
for line in sys.stdin:
    in_trouble.set() if line.strip() == "trouble" else in_trouble.clear()

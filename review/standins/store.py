"""Stand-in of the platform's store: keyed topics with one partition each, as PROTOCOL.md describes them."""

import base64
import json
import socketserver
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, HTTPServer
from urllib.parse import parse_qs, urlsplit


class Store:
    def __init__(self, host="127.0.0.1"):
        self.topics = {}
        self.changed = threading.Condition()
        self.server = _Server((host, 0), _handler(self))
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        """Appends a record; an empty value drops the key. Returns once a read shows the record."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode() if value else b""
        with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self.changed.notify_all()
            return len(records) - 1

    def newest(self, topic):
        with self.changed:
            newest = {}
            for offset, (key, value) in enumerate(self.topics.get(topic, [])):
                newest[key] = (value, offset)
            return {k: v for k, v in newest.items() if v[0]}, len(self.topics.get(topic, []))

    def read(self, topic, start, wait_ms):
        due = time.monotonic() + wait_ms / 1000
        with self.changed:
            while len(self.topics.get(topic, [])) <= start:
                left = due - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
            records = self.topics.get(topic, [])
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                record = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(record)) + record
            return body


class _Server(socketserver.ThreadingMixIn, HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Callers may reset their connections."""


def _handler(store):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def answer(self, status, body):
            try:
                self.send_answer(status, body)
            except OSError:
                self.close_connection = True

        def send_answer(self, status, body):
            self.send_response(status)
            self.send_header("Store-Era", "0")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def do_GET(self):
            url = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(url.query).items()}
            topic = query.get("topic", "")
            if url.path == "/log-newest":
                newest, end = store.newest(topic)
                items = [
                    {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                    for k, (v, o) in sorted(newest.items())
                ]
                page = {"items": items, "has_more": False, "end_offset": end}
                self.answer(200, json.dumps(page).encode())
            elif url.path == "/log-read":
                wait_ms = int(query.get("wait_ms", 0))
                self.answer(200, store.read(topic, int(query["from"]), wait_ms))
            else:
                self.answer(404, b"{}")

        def do_POST(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            url = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(url.query).items()}
            if url.path != "/log-append":
                return self.answer(404, b"{}")
            offset = None
            while body:
                (length,) = struct.unpack(">I", body[:4])
                record, body = body[4 : 4 + length], body[4 + length :]
                key = record[1 : 1 + record[0]].decode()
                at = store.put(query["topic"], key, bytes(record[1 + record[0] :]))
                offset = at if offset is None else offset
            end = len(store.topics.get(query["topic"], []))
            self.answer(200, json.dumps({"offset": offset, "end_offset": end}).encode())

    return Handler

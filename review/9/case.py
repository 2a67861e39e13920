"""Every second answer of the records servers has no length: it ends with its connection, in order."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))
import bench  # noqa: E402

REQUESTS = 60  # hours-entry, one after another, each of another customer


def case(record, trouble):
    ends_with_connection = set()

    def answer(connection, head, request_id):
        if not trouble or int(request_id.split("-")[1]) % 2 == 0:
            return bench.answer_at_once(connection, head, request_id)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"
                           + bench.body_for(request_id))
        ends_with_connection.add(request_id)
        return False  # closed in order: no byte of the gateway is left unread

    servers = [bench.RecordsServer(f"s-{number}", record, answer) for number in range(3)]
    endpoints = [server.entry() for server in servers]
    discovery, counter = bench.Discovery(endpoints), bench.Counter()
    gateway = bench.Gateway(discovery, counter, endpoints)
    forwarded = served = 0
    try:
        for number in range(REQUESTS):
            request_id = f"entry-{number}"
            with gateway.connect() as client:
                client.sendall(bench.request(request_id, "hours-entry", tenant=number, timeout_ms=8000, body=b"7.5 h"))
                head, body, _ = bench.read_message(client)
            record(f"client gets {head.splitlines()[0] if head else 'no answer'} for {request_id}")
            if bench.status_of(head) == 200 and body == bench.body_for(request_id):
                served += 1
                forwarded += request_id in ends_with_connection
    finally:
        gateway.end()
    return {"whole_without_length": len(ends_with_connection), "forwarded_of_these": forwarded,
            "requests": REQUESTS, "served": served}


bench.play(FOLDER, case)

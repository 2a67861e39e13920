"""Usual clients that send many requests at once, as on the day `herd+brink` with `pipeline`."""

import threading
import time

import bench

CLIENTS = 8
REQUESTS = 40          # of each client, at once
WORK_S = 0.1           # of each request: 4 s for all of a client's, inside their deadline of 6 s
NO_CROSSING_S = 0.3    # a connection that ends later than this after a request was written has not crossed it


class Client(threading.Thread):
    """Writes all its requests at once on one connection and reads until all are answered or the connection ends."""

    def __init__(self, number, gateway, record):
        super().__init__()
        self.number, self.record, self.connection = number, record, gateway.connect()
        self.sent_at = None
        self.answered = 0
        self.end = None  # how the connection ended, and how long after the requests were written

    def request_id(self, position):
        return f"client{self.number}-{position}"

    def send(self):
        requests = [bench.request(self.request_id(position), tenant=self.number) for position in range(REQUESTS)]
        self.connection.sendall(b"".join(requests))
        self.sent_at = time.monotonic()
        self.record(f"client {self.number} has written {REQUESTS} requests at once")

    def run(self):
        rest = b""
        for position in range(REQUESTS):
            try:
                head, _, rest = bench.read_message(self.connection, rest)
                how = "in order"
            except OSError as error:
                head, how = None, str(error)
            if head is None:
                self.end = (how, time.monotonic() - self.sent_at)
                self.record(f"client {self.number}: the connection ends ({how}) {self.end[1]:.3f} s after the requests "
                            f"were written, with no answer to {self.request_id(position)} and those behind it")
                return
            self.answered += 1
            close = ", Connection: close" if bench.header(head, "Connection") == "close" else ""
            self.record(f"client {self.number} gets {head.splitlines()[0]} for {self.request_id(position)}{close}")

    def lost(self):
        """Requests that were read and not answered: a close over unread bytes would have reset the connection."""
        if self.end is None:
            return 0
        how, delay = self.end
        return REQUESTS - self.answered if how == "in order" and delay > NO_CROSSING_S else 0


def answer_after_work(connection, head, request_id):
    time.sleep(WORK_S)
    return bench.answer_at_once(connection, head, request_id)


def play(record, disrupt, sockets=1024):
    """Lets the clients send, calls disrupt(gateway), and returns the facts for the judge."""
    servers = [bench.RecordsServer(f"s-{number}", record, answer_after_work) for number in range(8)]
    endpoints = [server.entry() for server in servers]
    discovery, counter = bench.Discovery(endpoints), bench.Counter()
    gateway = bench.Gateway(discovery, counter, endpoints, sockets=sockets)
    try:
        clients = [Client(number, gateway, record) for number in range(CLIENTS)]
        for client in clients:
            client.send()
            client.start()
        disrupt(gateway)
        for client in clients:
            client.join()
    finally:
        gateway.end()
    return {"requests": CLIENTS * REQUESTS, "answered": sum(client.answered for client in clients),
            "lost": sum(client.lost() for client in clients)}

"""Tests of entries whose engines execute orders whatever their token is."""

from __future__ import annotations

import http.client
import itertools
import json
import pathlib
import signal
import tempfile
import threading
import time
import unittest

from twisted.internet import reactor
from twisted.web import server

from soak import backend_server
from soak import configuration
from soak import entry as entry_module
from soak import ledger as ledger_module
from soak import poison_part
from soak import store as store_module
from tests.fixtures import reactor_thread

ENGINES = 3
SERVICE = "models"
MODELS = [f"m{number}" for number in range(8)]
HOST = "desk.example"
START_S = 20
POLL_S = 0.02
REQUEST_INTERVAL_S = 0.6
REQUEST_TIMEOUT_S = 1
AWAY_S = 6
OBSERVED_MS = 2_000
DOWN_S = 2.5
# A process that has started orders within this time.
JOIN_S = 7
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "talk",
            "host": HOST,
            "path_prefix": "/talk/",
            "kind": "streaming",
            "timeout_ms": 10_000,
            "target_latency_ms": 1_000,
            "gap_aim_ms": 500,
            "attempts": 1,
            "service": SERVICE,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "max_conns": 200,
            "engine": configuration.engine(MODELS),
        }
    ],
}


class _NoFaults:
    """Source of random numbers that lets an engine fail no request."""

    def random(self):
        return 1.0


class StoreOfEntry(store_module.StoreSite):
    """Interface of the store to one entry, which may be turned away."""

    def __init__(self, data):
        super().__init__(data)
        self.is_turned_away = False

    def turn_away(self):
        """Refuse all calls from now on."""
        self.is_turned_away = True
        self.close_watches()

    def render(self, request):
        if self.is_turned_away:
            request.setResponseCode(503)
            return b"{}"
        return super().render(request)


class OrdersProcessTest(unittest.TestCase):
    """The store turns the holder away while no other entry is up.

    Requests ask for more models than the engines hold, so that a holder has
    orders to give at all times.
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.data = store_module.StoreData()
        self.addCleanup(reactor_thread.run, self.data.stop)
        value = json.dumps(CONFIGURATION).encode()
        reactor_thread.run(lambda: self.data.put("op/config", value))
        self.engines = [self.start_engine(number) for number in range(ENGINES)]
        self.sites = {}
        self.entries = []
        self.numbers = itertools.count(1)
        self.is_over = threading.Event()
        self.addCleanup(self.is_over.set)

    def start_engine(self, number):
        engine = backend_server.BackendServer(
            f"models-{number}",
            SERVICE,
            "z1",
            self.data,
            ledger_module.Ledger(),
            _NoFaults(),
            0.0,
            poison_part.PoisonPart(),
            None,
            None,
        )
        engine.checks_tokens = False
        reactor_thread.run(engine.start)
        self.addCleanup(reactor_thread.run, engine.leave)
        return engine

    def start_entry(self, name, *, engines_check_tokens=False):
        """Start an entry, and requests to it for one model after another."""
        site = StoreOfEntry(self.data)
        listener = reactor_thread.run(
            lambda: reactor.listenTCP(
                0, server.Site(site), interface="127.0.0.1"
            )
        )
        self.addCleanup(reactor_thread.run, listener.stopListening)
        entry = entry_module.Entry(
            name,
            "z1",
            listener.getHost().port,
            self.folder,
            engines_check_tokens,
        )
        self.sites[name] = site
        self.entries.append(entry)
        self.addCleanup(entry.kill)
        entry.start()
        threading.Thread(
            target=self.send_requests, args=(entry,), daemon=True
        ).start()
        return entry

    def send_requests(self, entry):
        for model in itertools.cycle(MODELS):
            if self.is_over.wait(REQUEST_INTERVAL_S):
                return
            threading.Thread(
                target=self.send, args=(entry, model), daemon=True
            ).start()

    def send(self, entry, model):
        connection = http.client.HTTPConnection(
            "127.0.0.1", entry.callers_port, timeout=REQUEST_TIMEOUT_S
        )
        try:
            connection.request(
                "POST",
                "/talk/1",
                headers={
                    "Host": HOST,
                    "Balsamwall-Request-Id": f"{next(self.numbers):016x}",
                    "Balsamwall-Deadline-Ms": "1000",
                    "Balsamwall-Model": model,
                    "Balsamwall-Token-Usage": "300,30",
                },
            )
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()

    def orders(self, since_ms=0):
        """Return the orders of all engines since a time, oldest first."""
        found = [
            order
            for engine in self.engines
            for order in engine.order_records[-1].orders
            if order.at_ms >= since_ms
        ]
        return sorted(found, key=lambda order: order.at_ms)

    def wait_for_orders(self, names):
        """Wait for an order of one of some entries; return the entry."""
        since_ms = ledger_module.now_ms()
        end_s = time.monotonic() + START_S
        while True:
            holders = {order.holder for order in self.orders(since_ms)}
            for entry in self.entries:
                if entry.name in holders.intersection(names):
                    return entry
            self.assertLess(time.monotonic(), end_s, "no orders")
            time.sleep(POLL_S)

    def start_entries(self, count, **changes):
        """Start entries; return the holder and the others."""
        names = [f"front-{number}" for number in range(count)]
        for name in names:
            self.start_entry(name, **changes)
        holder = self.wait_for_orders(names)
        return holder, [item for item in self.entries if item is not holder]

    def check(self):
        disturbed = {item.name: item.frozen_ms for item in self.entries}
        self.assertEqual(
            [
                text
                for engine in self.engines
                for text in engine.order_records[-1].violations(disturbed)
            ],
            [],
        )

    def test_others_return_and_join_while_the_holder_is_turned_away(self):
        """Guards against orders of a holder that has lost its lease.

        It was alone when the lease ended, so that the entries that start
        later are not among those whose loss would end its orders.
        """
        holder, others = self.start_entries(3)
        self.sites[holder.name].turn_away()
        for entry in others:
            entry.kill()
        time.sleep(DOWN_S)
        others[0].start()
        self.start_entry("front-9")
        time.sleep(JOIN_S)
        self.wait_for_orders({others[0].name, "front-9"})
        self.sites[holder.name].is_turned_away = False
        time.sleep(1)
        self.check()

    def test_holder_is_frozen_and_thawed_beside_the_next_one(self):
        """Guards against orders of a thawed process whose lease has ended."""
        holder, others = self.start_entries(2)
        self.sites[holder.name].turn_away()
        others[0].kill()
        time.sleep(DOWN_S)
        begin_ms = ledger_module.now_ms()
        holder.send_signal(signal.SIGSTOP)
        others[0].start()
        self.wait_for_orders({others[0].name})
        holder.send_signal(signal.SIGCONT)
        holder.frozen_ms.append((begin_ms, ledger_module.now_ms()))
        time.sleep(3)
        self.check()

    def test_orders_continue_where_engines_check_tokens(self):
        """Guards against loads that stop while the store is away."""
        for engine in self.engines:
            engine.checks_tokens = True
        holder, _ = self.start_entries(2, engines_check_tokens=True)
        for site in self.sites.values():
            site.turn_away()
        time.sleep(AWAY_S)
        since_ms = ledger_module.now_ms() - OBSERVED_MS
        holders = {order.holder for order in self.orders(since_ms)}
        self.assertEqual(holders, {holder.name})

"""The simulator's host on whole batches: server lists in order, restarts, error messages for bad input."""

import json
import struct
import unittest

from flaxscale import wire, wirehost

PARAMS = {
    "me": 0,
    "peersTotal": 1,
    "myZone": 0,
    "discovery": "push",
    "someday": 1,
    "classes": [
        {
            "goalTimeMs": 1500.0,
            "deadlineMs": 3000.0,
            "worth": 1.0,
            "effect": "safe",
            "group": "all",
            "repeatWindowMs": 5000.0,
        }
    ],
    "specifics": {
        "lowestRung": [0],
        "highestRung": [1],
        "scaleByClass": [1.0],
        "licenceCap": [0],
        "live": [False],
        "levelKb": [100.0, 200.0],
        "levelWorth": [0.5, 1.0],
        "switchCostS": 0.5,
        "stall": 6.0,
        "join": 1,
        "cells": 1,
        "shelves": 1,
        "kindSlots": [8],
        "kbPerWeight": 1000.0,
        "uplinkKb": 900.0,
        "guard": 0,
        "seenAfterMs": 900.0,
        "tellMs": 3000.0,
    },
    "obligations": {
        "drainGraceMs": 1000.0,
        "warmWithinMs": 9000.0,
        "startCapacity": 0.4,
        "tipMultiple": 3.0,
        "fallMs": 1000.0,
        "mustAskInMs": 9000.0,
    },
    "caps": {
        "tryLimit": 4,
        "cancelling": True,
        "retryAfter": True,
        "maxRetryAfterMs": 500.0,
        "peers": False,
        "mayProbe": False,
        "dialTimeoutMs": 250.0,
    },
    "penalties": {"crossZone": 0.0, "moves": 0.1, "lateFail": 0.0, "peer": 0.0, "probe": 0.0},
    "objectiveMix": {"whole": 1.0, "worstWindow": 0.0, "worstClass": 0.0},
    "loadInfo": {"how": "inline", "names": ["x0"]},
    "weightSource": "nominal",
}


def record(code, layout, *fields, tail=b""):
    body = struct.pack("<" + layout, *fields) + tail
    return struct.pack("<BI", code, len(body)) + body


def init(params=PARAMS):
    text = params if isinstance(params, bytes) else json.dumps(params).encode()
    return record(0, "HQ", 3, 7, tail=struct.pack("<I", len(text)) + text)


def listed(server):
    return record(12, "B", 0, tail=struct.pack("<IBHfdIHB", 1, 0, 0, 1.0, 0.0, server, 0, 1))


LIST_UPDATE = record(1, "HBQB", 3, 4, 1, 0)


def knock(id, left=200.0):
    return record(2, "HIdfHBQQdffI", 3, id, 0.0, 1.0, 0, 0, 5, 6, left, 0.0, 1.0, 0)


def frame(*records, clock=1000.0):
    body = b"".join(records)
    return struct.pack("<IdI", 16 + len(body), clock, 1) + body


class Batches(unittest.TestCase):
    def actions_of(self, reply):
        """(code, first fields) of each action of a reply."""
        offset, actions = 12, []
        while offset < len(reply):
            code, size = struct.unpack_from("<BI", reply, offset)
            actions.append((code, struct.unpack_from("<HI", reply, offset + 5)[1]))
            offset += 5 + size
        return actions

    def test_a_list_number_reused_in_a_batch_and_a_restart(self):
        host = wirehost.Host()
        reply = host.batch(
            frame(
                init(),
                listed(11),
                LIST_UPDATE,
                knock(1),
                record(9, "H", 3),
                init(),
                listed(12),
                LIST_UPDATE,
                knock(2),
            )
        )
        # Actions of the instance that crashed are dropped. Code 68 is the reminder of its regular check.
        self.assertEqual([(68, 1), (76, 2), (64, 2)], self.actions_of(reply))
        self.assertEqual([12], list(host.managers[3].servers))

    def test_errors_name_the_bad_input(self):
        incomplete = {key: value for key, value in PARAMS.items() if key != "caps"}
        for records, message in (
            ([init(b"{no json")], "unreadable settings"),
            ([init(incomplete)], "lack the key 'caps'"),
            ([knock(1)], "for instance 3, which does not exist"),
            ([init(), LIST_UPDATE], "names list 0, which was not sent"),
        ):
            with self.assertRaisesRegex(wire.WireError, message):
                wirehost.Host().batch(frame(*records))

    def test_an_exception_in_the_manager_ends_the_instance_with_its_text(self):
        host = wirehost.Host()
        host.batch(frame(init(), listed(11), LIST_UPDATE))
        host.managers[3].handle = lambda now, event: 1 / 0
        self.assertIn(b"knock: ZeroDivisionError: division by zero", host.batch(frame(knock(1))))

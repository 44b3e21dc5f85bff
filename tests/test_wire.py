"""The codec on the example frames of the protocol's specification, as bytes."""

import io
import unittest

from flaxscale import wire

EMPTY_BATCH = bytes.fromhex("10000000 00000000206ec040 01000000")
THREE_RECORDS = bytes.fromhex(
    "68000000 00000000206ec040 0c000000"
    "02 39000000 0300 c4913a5d 0000000000002840 00004040 0000 01 107cf3d901648e2b 640ad2557c3bf091"
    "0000000000006e40 00000000 00000040 00000000"
    "06 0a000000 0300 4d00000000000000"
    "05 06000000 0500 192b6f0e"
)
LIST_BATCH = bytes.fromhex(
    "57000000 00000000206ec040 02000000"
    "0c 31000000 00 02000000 00 0000 0000803f 0000000000000000 074a1203 0000 01"
    "00 0000 0000c03f 0000000000d4b740 f211902c 0100 01"
    "01 0c000000 0300 04 2900000000000000 00"
)
REPLY = bytes.fromhex(
    "03000000 54000000 0c000000"
    "40 12000000 0300 c4913a5d 074a1203 000000002096c040"
    "44 12000000 0300 4d00000000000000 0000000000407f40"
    "48 15000000 0500 1100 74776f2073657276657273206b6e6f776e"
)


class Frames(unittest.TestCase):
    def test_empty_batch_and_its_reply(self):
        self.assertEqual(wire.decode(EMPTY_BATCH), (8412.25, 1, []))
        self.assertEqual(wire.encode(1, []), bytes.fromhex("00000000 0c000000 01000000"))

    def test_three_records_in_order(self):
        clock, number, records = wire.decode(THREE_RECORDS)
        self.assertEqual(
            (clock, number, [(name, fields["managerId"]) for name, fields, _ in records]),
            (8412.25, 12, [("knock", 3), ("timer", 3), ("expired", 5)]),
        )
        request = records[0][1]
        self.assertEqual(
            (
                request["id"],
                request["workMs"],
                request["cellsInRow"],
                request["bitmap"],
                request["graceMs"],
                request["topRung"],
                request["programme"],
            ),
            (0x5D3A91C4, 12.0, 3.0, 1, 240.0, 2.0, 0x2B8E6401D9F37C10),
        )

    def test_list_entries(self):
        name, fields, _ = wire.decode(LIST_BATCH)[2][0]
        self.assertEqual(
            (
                name,
                [
                    (entry["server"], entry["rating"], entry["startTimeMs"], entry["area"], entry["readiness"])
                    for entry in fields["items"]
                ],
            ),
            ("list", [(0x03124A07, 1.0, 0.0, 0, 1), (0x2C9011F2, 1.5, 6100.0, 1, 1)]),
        )

    def test_reply_bytes(self):
        self.assertEqual(
            REPLY,
            wire.encode(
                12,
                [
                    ("attempt", (3, 0x5D3A91C4, 0x03124A07, 8492.25)),
                    ("remind", (3, 0x4D, 500.0)),
                    ("log", (5, b"two servers known")),
                ],
            ),
        )

    def test_unknown_codes_are_skipped(self):
        frame = bytes.fromhex("20000000 00000000206ec040 01000000 fe 02000000 ffff 09 02000000 0300")
        frame = len(frame).to_bytes(4, "little") + frame[4:]
        self.assertEqual([name for name, _, _ in wire.decode(frame)[2]], ["crash_now"])

    def test_errors_name_what_does_not_fit(self):
        for stream, message in (
            (THREE_RECORDS[:50], "input ends inside a frame of 104 bytes"),
            (THREE_RECORDS[:2], "input ends inside a frame's length"),
            (b"\x04\0\0\0", "frame length 4 does not fit"),
        ):
            with self.assertRaisesRegex(wire.WireError, message):
                wire.read_frame(io.BytesIO(stream))
        with self.assertRaisesRegex(wire.WireError, "code 2 at byte 16 has 200 bytes"):
            wire.decode(THREE_RECORDS[:17] + b"\xc8" + THREE_RECORDS[18:])


if __name__ == "__main__":
    unittest.main()

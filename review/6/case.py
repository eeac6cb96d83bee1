"""A part of prompts that crashes replicas, in prompts with more than 16 shared parts."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
from fleet import CONTACT_S, TROUBLE, main  # noqa: E402

BAD = "e4402b7d"
# The turns of a long session: 20 parts that its requests share, besides each request's own.
SESSION = [f"5c1e{n:04x}" for n in range(20)]
# Place of the part that crashes replicas. With 5 instead of 17 the rule holds.
BAD_AT = int(os.environ.get("BAD_AT", "17"))
ALLOWED = 3


def has_bad_part(request):
    parts = request["headers"].get("prompt-prefix", "").split(",")
    return any(part.split(":")[0] == BAD for part in parts[:-1])


async def play(fleet):
    def on_arrival(replica, request):
        return "crash" if TROUBLE and has_bad_part(request) else None

    fleet.on_arrival = on_arrival
    crash_times = []

    await fleet.start()
    for replica in fleet.replicas:
        crash = replica.crash

        def noted(back_after, crash=crash, replica=replica):
            crash_times.append(fleet.now())
            fleet.note("crash", replica=replica.id)
            crash(back_after)

        replica.crash = noted
    number = 0

    async def send(bad):
        nonlocal number
        number += 1
        parts = list(SESSION)
        if bad:
            parts[BAD_AT - 1] = BAD
        own = f"{0x10000 + number:x}"
        prefix = ",".join(f"{part}:60" for part in parts + [own])
        headers = {"Request-Id": f"{'bad' if bad else 'sound'}-{number}", "Model": "m0",
                   "Token-Count": "1300,50", "Prompt-Prefix": prefix}
        return await fleet.call(number % 3, "POST", "/draft/2f", headers, own.encode())

    calls = []
    for step in range(120):
        calls.append(asyncio.ensure_future(send(False)))
        if step >= 10 and step % 2 == 0:
            calls.append(asyncio.ensure_future(send(True)))
        await asyncio.sleep(0.5)
    await asyncio.gather(*calls)

    arrivals = [entry for entry in fleet.arrivals if str(entry["id"]).startswith("bad")]
    sent = [note for note in fleet.notes
            if note["what"] == "answered" and str(note["id"]).startswith("bad")]
    lines = [f"requests with the part that crashes replicas: {len(sent)} sent, {len(arrivals)} arrivals",
             f"crashes: {len(crash_times)} at {crash_times}"]
    held = True
    if len(crash_times) >= 5:
        since = crash_times[4] + CONTACT_S
        late = [entry for entry in arrivals if entry["at"] > since + 0.1]
        held = len(late) <= ALLOWED
        lines.append(f"arrivals later than contact_ms after the fifth crash: {len(late)} (allowed: {ALLOWED})")
    lines.append("BUDGET held" if held else "BUDGET was broken")
    return lines, held


main(FOLDER, play)

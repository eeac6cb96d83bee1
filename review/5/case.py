"""A part of prompts that crashes replicas, ahead of a part that sound requests share."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
from fleet import CONTACT_S, TROUBLE, main  # noqa: E402

BAD, GOOD, SHARED = "e4402b7d", "5c1e07a2", "91bd3f06"


async def play(fleet):
    crash_times = []

    def on_arrival(replica, request):
        parts = request["headers"].get("prompt-prefix", "").split(",")
        is_bad = any(part.split(":")[0] == BAD for part in parts[:-1])
        return "crash" if TROUBLE and is_bad else None

    fleet.on_arrival = on_arrival
    await fleet.start()
    for replica in fleet.replicas:
        crash = replica.crash

        def noted(back_after, crash=crash, replica=replica):
            crash_times.append(fleet.now())
            fleet.note("crash", replica=replica.id)
            crash(back_after)

        replica.crash = noted
    number = 0
    calls, sound, bad_sent = [], [], []

    async def send(is_bad):
        nonlocal number
        number += 1
        own = f"{0x10000 + number:x}"
        first = BAD if is_bad else GOOD
        name = f"{'bad' if is_bad else 'sound'}-{number}"
        headers = {"Request-Id": name, "Model": "m0", "Token-Count": "700,50",
                   "Prompt-Prefix": f"{first}:800,{SHARED}:410,{own}:250"}
        (bad_sent if is_bad else sound).append((fleet.now(), name))
        await fleet.call(number % 3, "POST", "/draft/2f", headers, own.encode())

    def start(is_bad):
        calls.append(asyncio.ensure_future(send(is_bad)))

    for _ in range(25):
        start(False)
        await asyncio.sleep(0.4)
    await asyncio.sleep(2.0)
    # One request every 0.5 s whose first part crashes replicas, and a sound one every 2.5 s of the
    # same caller and with the same second part.
    trouble_at = fleet.now()
    start(True)
    for step in range(135):
        await asyncio.sleep(0.5)
        start(True)
        if step % 5 == 4:
            start(False)
    await asyncio.gather(*calls)

    began = {str(entry["id"]) for entry in fleet.beginnings}

    def rate(requests):
        return sum(1 for _, name in requests if name in began), len(requests)

    before = [entry for entry in sound if entry[0] < trouble_at]
    last_crash = crash_times[min(4, len(crash_times) - 1)] if crash_times else trouble_at
    since = last_crash + 2 * CONTACT_S
    until = bad_sent[-1][0]
    after = [entry for entry in sound if since < entry[0] <= until]
    (begun_before, count_before), (begun_after, count_after) = rate(before), rate(after)
    lines = [
        f"crashes: {len(crash_times)} at {crash_times}",
        f"sound requests before: {begun_before} of {count_before} began at the first attempt",
        f"sound requests from 2 x contact_ms after crash {min(5, len(crash_times))}: "
        f"{begun_after} of {count_after} began at the first attempt",
    ]
    is_judged = count_before >= 20 and count_after >= 20
    held = not is_judged or begun_after / count_after >= 0.5 * begun_before / count_before
    lines.append(("LOST held" if held else "LOST was broken") if is_judged else "too few requests to judge")
    return lines, held


main(FOLDER, play)

"""An order to join that is carried out late brings a replica back into the group that it has left."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import fleet as stand_ins  # noqa: E402
from fleet import TROUBLE, main  # noqa: E402

ZONE = "grandi-hall"
# "carried out seconds later" (PROTOCOL.md); the bench takes 2 to 12 s.
LATE_S = 9.0
CUT_S = 10.0


class Replica(stand_ins.Replica):
    """A replica that may be partitioned from the store and from control, and that may leave one
    order unanswered and carry it out late."""

    is_cut = False

    async def handle(self, method, target, headers, body, writer):
        if self.is_cut and target.split("?")[0] in ("/order", "/report"):
            await asyncio.sleep(CUT_S)
            raise ConnectionError
        if target == "/order":
            order = json.loads(body)
            is_own = headers.get("expect-instance") in (None, self.id)
            if is_own and self.leaves_unanswered(order):
                self.fleet.note("unanswered, carried out late", replica=self.id, order=order)
                self.later(LATE_S, self.carry_out_late, order)
                await asyncio.sleep(LATE_S)
                raise ConnectionError
        await super().handle(method, target, headers, body, writer)

    def leaves_unanswered(self, order):
        """The first order to join a group of two as its second member, in the time of trouble."""
        fleet = self.fleet
        is_join = order.get("operation") == "join" and len(order["members"]) == 2
        if not (fleet.leaves_orders and is_join and order["members"][1] == self.id):
            return False
        if order["group"] in fleet.late_groups:
            return False
        fleet.late_groups.append(order["group"])
        return True

    def carry_out_late(self, order):
        status = self.order(order)
        self.fleet.note("carried out late", replica=self.id, order=order, status=status)

    def order(self, order):
        group = self.group
        if order.get("operation") == "join" and group is not None:
            is_other = (group["name"], group["epoch"]) != (order["group"], order["epoch"])
            head = next((r for r in self.fleet.replicas if r.alive and r.id == group["members"][0]), None)
            is_serving = (head is not None and head.group is not None
                          and head.group["name"] == group["name"]
                          and head.group["state"] in ("open", "closing"))
            if is_other and order["epoch"] >= self.max_epoch and is_serving:
                self.fleet.broken.append(
                    f"{self.fleet.now()} s: {self.id} took a join of {order['group']} while "
                    f"{group['name']} of {head.id}, which it had not left, was {head.group['state']}")
        return super().order(order)


async def partition(replica):
    replica.fleet.note("partitioned from the store and from control", replica=replica.id)
    replica.is_cut = True
    await replica.cut_from_store(CUT_S)
    replica.is_cut = False
    replica.fleet.note("partition healed", replica=replica.id)


async def wait_until(condition, seconds):
    for _ in range(int(seconds / 0.05)):
        found = condition()
        if found:
            return found
        await asyncio.sleep(0.05)
    return None


async def play(fleet):
    stand_ins.Replica = Replica
    fleet.leaves_orders = False
    fleet.late_groups = []
    fleet.broken = []
    await fleet.start()
    number = 0

    async def traffic():
        nonlocal number
        while True:
            number += 1
            own = f"{0x10000 + number:x}"
            headers = {"Request-Id": f"sound-{number}", "Model": "m1" if number % 3 else "m0",
                       "Token-Count": "700,50", "Prompt-Prefix": f"5c1e07a2:40,{own}:250"}
            fleet.tasks.append(asyncio.ensure_future(
                fleet.call(number % 3, "POST", "/draft/2f", headers, own.encode())))
            await asyncio.sleep(0.1)

    fleet.tasks.append(asyncio.ensure_future(traffic()))
    await asyncio.sleep(2.0)

    def heads():
        """Heads of the open groups of two in the zone."""
        return [r for r in fleet.replicas if r.zone == ZONE and r.alive and r.domain and r.group
                and r.group["state"] == "open" and r.group["rank"] == 0 and len(r.group["members"]) == 2]

    # A head is partitioned; its group is dissolved, and formed again after the partition.
    first = heads()[0]
    if TROUBLE:
        fleet.tasks.append(asyncio.ensure_future(partition(first)))
        await asyncio.sleep(CUT_S - 0.5)
        # While orders are left unanswered, its group is formed again.
        fleet.leaves_orders = True
        head = await wait_until(
            lambda: next((r for r in heads() if r.group["name"] in fleet.late_groups), None), 12)
        fleet.leaves_orders = False
        if head is None:
            raise RuntimeError("no group was formed again")
        fleet.note("formed again", group=head.group)
        # The new head is partitioned, and then that of another group: the survivors of both are
        # to form one group.
        fleet.tasks.append(asyncio.ensure_future(partition(head)))
        await asyncio.sleep(5.0)
        other = next(r for r in heads() if r is not head and r.group["name"] != head.group["name"])
        fleet.tasks.append(asyncio.ensure_future(partition(other)))
    await asyncio.sleep(18.0)
    lines = [f"groups whose second member left an order unanswered: {fleet.late_groups}"]
    lines += fleet.broken
    lines.append("TWO was broken" if fleet.broken else "TWO held")
    return lines, not fleet.broken


main(FOLDER, play)

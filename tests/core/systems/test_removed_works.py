"""Tests of generations whose work a new template removes."""

from __future__ import annotations

import unittest

from magnoliahold.measure.fakes.operators import add_operator_ports, apply_template
from magnoliahold.templates import (
    VersionShare,
    Work,
    WorkspaceTemplate,
    encode_template,
)
from tests.core.systems.test_admission import make_small_fleet, start_caller

WORKSPACE = "club-0"


class RemovedWorkTests(unittest.TestCase):
    def test_removal_of_a_work_refuses_what_waits_and_finishes_what_runs(self) -> None:
        fleet = make_small_fleet(1)
        add_operator_ports(fleet)
        callers = [start_caller(fleet, "night", tokens=100) for _ in range(30)]
        fleet.run_for(0.5)
        running = [caller for caller in callers if caller.tokens]
        waiting = [i for i in callers if not i.tokens and not i.refusals]
        self.assertGreater(len(running), 2)
        self.assertGreater(len(waiting), 10)
        shares = (VersionShare("v1", ("draft",), 1.0),)
        works = {"desk": Work(shares)}
        template = encode_template(WorkspaceTemplate(WORKSPACE, works=works))
        apply_template(fleet, WORKSPACE, template)
        fleet.run_for(1.0)
        self.assertEqual({len(caller.refusals) for caller in waiting}, {1})
        refusals = [item for caller in waiting for item in caller.refusals]
        self.assertEqual({item.ran for item in refusals}, {"not_run"})
        fleet.run_for(10.0)
        self.assertEqual({len(caller.tokens) for caller in running}, {100})


if __name__ == "__main__":
    unittest.main()

"""Guards against two control hosts that share out the same window."""

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.ports.sync_messages import PromptProgress
from mustardtrack.process.placement_service import PlacementService
from mustardtrack.routing.pace import AdaptivePace
from mustardtrack.routing.pacemessages import PaceReport
from mustardtrack.routing.placements import PlacementTable
from mustardtrack.settings.seeded import Bounds


class StandInControl:
    """Control host whose leadership a test sets."""

    def __init__(self):
        self.placements = PlacementTable(15_000, AdaptivePace())
        self.leads = True
        self.term_number = 1
        self.time_ms = 0

    def is_leader(self):
        """Return whether it leads."""
        return self.leads

    def term(self):
        """Return the term."""
        return self.term_number

    def now_ms(self):
        """Return the time."""
        return self.time_ms


def listed(name):
    return ListedEndpoint(name, 1, "s", f"{name}:1", "a", 6, False, False, {})


def test_only_the_leader_shares_out_a_window():
    control = StandInControl()
    control.placements.update([listed("old")])
    control.placements.update([listed("old"), listed("new")])
    service = PlacementService(control, Bounds())
    assert list(service.pace_shares("r1")) == ["new"]
    control.leads = False
    assert service.pace_shares("r1") == {}


def test_a_new_leader_adopts_what_the_first_progress_reports():
    """Guards against a report that is dropped because no router has synced yet."""
    control = StandInControl()
    control.placements.update([listed("e")])
    service = PlacementService(control, Bounds())
    reports = {"e": PaceReport(1, window=3.0, is_proven=True)}
    service.record_progress(PromptProgress([], [], [], paces=reports))
    share = service.pace_shares("r1")["e"]
    assert (share.window, share.share, share.is_proven) == (3.0, 3, True)


def test_reports_of_a_router_end_the_pace():
    """Guards against progress messages whose reports do not reach the window."""
    control = StandInControl()
    control.placements.update([listed("old")])
    control.placements.update([listed("old"), listed("new")])
    service = PlacementService(control, Bounds())
    service.pace_shares("r1")
    reports = {"new": PaceReport(1, [1.0] * 5)}
    service.record_progress(PromptProgress([], [], [], paces=reports))
    assert service.pace_shares("r1") == {}

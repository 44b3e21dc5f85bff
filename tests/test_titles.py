"""Decisions with a live catalogue: holders, rungs and seats change at each step of an attempt."""

from flaxscale import interface
from flaxscale.interface import Outcome
from tests.drive import Drive, S, pack


def title_update(*servers, low=0, top=2, seats=(), title=9):
    return interface.TitleUpdate(title, frozenset(servers), low, top, tuple(seats))


class Titles(Drive):
    def test_holders_of_any_kind_and_a_change_at_each_step(self):
        self.start(pack(), quiet=False)
        self.at(0, title_update(2), say="only 2 holds it")
        self.at(600, self.ask(1))
        self.at(600, self.begun(1, 2))
        self.at(0, self.ask(2), say="waiting when 2 leaves and 3 comes")
        self.at(200, title_update(3))
        self.at(600)
        self.at(0, title_update(1), say="the tune-in at 3 stands; 3 says that it never ran: on to 1")
        self.at(100, self.ended(2, 3, Outcome.LACKING))
        self.at(600)
        self.at(0, title_update(), say="nobody holds it: held one slot, then blocked")
        self.at(0, self.ask(3))
        self.at(2_000, interface.TitleUpdate(9, None, 0, 0, ()), say="forgotten: the request's own cells again")
        self.at(0, self.ask(4))
        self.at(2_000)
        self.compare()

    def test_a_server_that_lacks_a_title_is_left_alone_for_it_a_while(self):
        self.start(pack())
        self.at(0, title_update(2))
        self.at(0, self.ask(1))
        self.at(600, self.ended(1, 2, Outcome.LACKING), say="the sole holder lacks it: not asked again and again")
        self.at(2_000, self.ask(2), self.ask(3, title=8), say="another title it may have")
        self.at(2_000)
        self.at(2 * S, self.ask(4), say="one of us may have caught up")
        self.at(600)
        self.compare()

    def test_a_holder_that_leaves_and_comes_back_within_a_second(self):
        self.start(pack())
        self.at(0, title_update(2))
        self.at(100, self.ask(1))
        self.at(100, title_update())
        self.at(100, title_update(2))
        self.at(800, self.begun(1, 2))
        self.compare()

    def test_a_catalogue_that_lists_servers_that_are_gone_or_were_never_listed(self):
        self.start(pack())
        self.at(0, self.list(2, kind=interface.ListKind.DELTA, state=interface.ServerStatus.GONE))
        self.at(0, title_update(2, 3, 77))
        self.at(0, self.ask(1), say="3 alone is there")
        self.at(600, title_update(2, 77), say="none is")
        self.at(0, self.ask(2))
        self.at(2_000)
        self.compare()

    def test_a_rendition_withdrawn_while_played_and_while_a_tune_in_is_out(self):
        self.start(pack())
        self.at(0, title_update(2, 3))
        self.plays(1, server=1, rung=2)
        self.at(0, self.ask(2))
        self.at(600, title_update(2, 3, top=0), say="all but rung 0 is withdrawn")
        server = self.manager.sessions[2].server.row.server
        self.at(100, self.begun(2, server), say="it begins at a rung that is no more")
        self.plays(3, server=1, rung=0)
        self.at(0, title_update(2, 3, low=1, top=1), say="only rung 1 is left")
        self.at(0, self.ask(4))
        self.at(600)
        self.compare()

    def test_seats_of_a_title_lowered_under_those_in_use_and_raised(self):
        self.start(pack(seats=3))
        self.at(0, title_update(1, 2, 3))
        self.plays(1, 2, 3)
        self.at(0, title_update(1, 2, 3, seats=((0, 2),)), say="two seats, three in use")
        self.at(0, self.ask(4))
        self.at(2_000, self.ended(1, 1, Outcome.OK, over=True), say="one ends: still none free")
        self.at(0, self.ask(5))
        self.at(2_000, self.ended(2, 1, Outcome.OK, over=True), say="another ends")
        self.at(0, self.ask(6), self.ask(7))
        self.at(2_000, title_update(1, 2, 3, seats=((0, 9),)), say="nine seats")
        self.at(0, self.ask(8))
        self.at(600)
        self.compare()

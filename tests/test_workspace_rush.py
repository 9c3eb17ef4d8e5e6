"""Replays of a day on which one workspace sends 8 times its usual load.

Guards against a workspace that makes the jobs of others late by sending more than it is
entitled to. The bounds are those of docs/design/workspaces-and-overload.md, section 5.
"""

import pytest
from absl import logging

from bench.workspace_rush import (
    RUSH_FACTOR,
    RUSH_SECONDS,
    RUSHING,
    SCENARIOS,
    WORKSPACES,
    build_day,
    fair_share,
    main,
    on_time_shares,
    play,
)

MAX_DROP = 0.02
MAX_SHORTFALL = 0.05
ALL, REDUCED, SHORT = SCENARIOS
OTHERS = [name for name in WORKSPACES if name != RUSHING]


@pytest.fixture(autouse=True)
def quiet():
    logging.set_verbosity(logging.FATAL)


def test_day_is_the_same_for_the_same_seed_and_has_the_rush():
    """Both replays must have the same jobs of the others."""
    with_rush, without = build_day(ALL, True), build_day(ALL, False)
    assert with_rush == build_day(ALL, True)
    for name in OTHERS:
        jobs = [
            [j for j in d.jobs if j.workspace == name] for d in (with_rush, without)
        ]
        assert jobs[0] == jobs[1]
    begin, end = RUSH_SECONDS
    sent = [
        sum(j.workspace == RUSHING and begin <= j.at < end for j in day.jobs)
        for day in (with_rush, without)
    ]
    assert sent[0] / sent[1] == pytest.approx(RUSH_FACTOR, rel=0.25)


@pytest.mark.parametrize("scenario", [ALL, REDUCED], ids=lambda s: s.name)
def test_others_stay_on_time_if_capacity_suffices_for_them(scenario):
    without, with_rush = (
        on_time_shares(play(scenario, rush)) for rush in (False, True)
    )
    for name in OTHERS:
        assert with_rush[name] >= without[name] - MAX_DROP, (name, without, with_rush)


def test_others_get_their_fair_share_of_what_is_left():
    assert fair_share(SHORT) < 1.0
    with_rush = on_time_shares(play(SHORT, True))
    for name in OTHERS:
        assert with_rush[name] >= fair_share(SHORT) - MAX_SHORTFALL, with_rush


def test_usage(capsys):
    with pytest.raises(SystemExit):
        main(["--unknown"])
    assert "--seed" in capsys.readouterr().err

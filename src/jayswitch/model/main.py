"""jayswitch-model: simulates a scenario with the real gates and balancers."""

from __future__ import annotations

from jayswitch import runtime

runtime.prepare(nng=False)

import logging  # noqa: E402
import sys  # noqa: E402

from absl import app, flags  # noqa: E402
from returns.result import Failure, Success  # noqa: E402

from jayswitch.model.experiment import Experiment  # noqa: E402
from jayswitch.model.loader import load_scenario  # noqa: E402
from jayswitch.model.report import (  # noqa: E402
    kinds_table,
    plot_outcomes,
    upstreams_table,
)
from jayswitch.platform.headers import platform_headers  # noqa: E402
from jayswitch.virtual_hub import use_virtual_time  # noqa: E402

EXIT_INVALID_INPUT = 2

FLAGS = flags.FLAGS

flags.DEFINE_integer("seed", 1, "Seed of the random number generator.")
flags.DEFINE_string("plot", "", "Image file for the outcomes of each second.")


def main(argv: list[str]) -> int:
    """Simulates the scenario in the given file and prints the results."""
    if len(argv) != 2:
        print("usage: jayswitch-model SCENARIO [--seed=N] [--plot=FILE]")
        return EXIT_INVALID_INPUT
    match load_scenario(argv[1]):
        case Failure(error):
            print(f"jayswitch-model: {error}", file=sys.stderr)
            return EXIT_INVALID_INPUT
        case Success(scenario):
            pass
    logging.getLogger("jayswitch").setLevel(logging.ERROR)
    use_virtual_time()
    experiment = Experiment(scenario, platform_headers(), FLAGS.seed)
    experiment.simulate()
    print(kinds_table(experiment), upstreams_table(experiment), sep="\n\n")
    if FLAGS.plot:
        plot_outcomes(experiment, FLAGS.plot)
    return 0


def run() -> None:
    """Entry point of the command."""
    app.run(main)


if __name__ == "__main__":
    run()

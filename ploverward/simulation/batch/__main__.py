"""Entry point of `python3 -m ploverward.simulation.batch`."""

import sys

from ploverward.simulation.batch import command_line

sys.exit(command_line.main())

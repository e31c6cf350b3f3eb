"""Entry point of `python3 -m ploverward.simulation.model_checker`."""

import sys

from ploverward.simulation.model_checker import command_line

sys.exit(command_line.main())

"""Runs the command line."""

import sys

from ploverward.simulation.model_checker import command_line

sys.exit(command_line.main())

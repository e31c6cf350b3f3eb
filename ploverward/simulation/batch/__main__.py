"""Runs the command line."""

import sys

from ploverward.simulation.batch import command_line

sys.exit(command_line.main())

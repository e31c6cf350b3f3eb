"""`python3 -m ploverward VERB`: the one command line for nodes and operators."""

from ploverward.command_line import main

main.start()

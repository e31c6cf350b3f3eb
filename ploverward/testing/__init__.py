"""Runner of the tests, which tolerates and prints the failures listed in KNOWN-RED.txt, and helpers for tests."""

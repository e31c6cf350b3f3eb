"""Command line of ploverward, in which `main` maps each verb to a module of this package.

A verb's module defines `command(verb, arguments)`, which reads its flags from `options` and returns an `ExitCode`.
Operators' verbs call the core nodes through `core_client`.
"""

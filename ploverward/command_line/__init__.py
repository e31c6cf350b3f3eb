"""The command line: a module a verb, found by `main`; its operators' verbs call core nodes by `core_client`.

A verb's module has `command(verb, arguments)`, which reads the flags of `options` and returns an `ExitCode`.
"""

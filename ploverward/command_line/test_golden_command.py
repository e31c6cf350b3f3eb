"""Compares exit codes, JSON, flags and usage of the command line with ploverward/command_line/golden/command.json.

The verbs call a fake core node. Values are compared exactly; its port and values that depend on the clock are replaced
by placeholders.
"""

import http.server
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import threading
import xml.etree.ElementTree

import pytest

HERE = pathlib.Path(__file__).parent
FOLDER = HERE / "golden"
COMMAND = json.loads((FOLDER / "command.json").read_text(encoding="utf-8"))
USAGE = (FOLDER / "usage.txt").read_text(encoding="utf-8")

# This section refers to names inside the program.
ROOT = HERE.parent.parent
PROGRAM = ("-m", "ploverward")
SETTINGS_VARIABLE = "PLOVERWARD_NODE_FILE"


def run(*words, settings: str = "") -> subprocess.CompletedProcess:
    return subprocess.run(**_subprocess_arguments(words, settings), capture_output=True, timeout=60)


def _subprocess_arguments(words, settings: str = "") -> dict:
    env = {**os.environ, SETTINGS_VARIABLE: settings, "PYTHONPATH": os.pathsep.join(sys.path)}
    return {"args": [sys.executable, *PROGRAM, *words], "cwd": ROOT, "env": env, "text": True}


# From here on, only published interfaces are used.
ANSWERS = COMMAND["answers"]  # "METHOD path": [status, body]
USAGE_MARK = "USAGE"
VARYING = {r"\b\d+\.\d\d s of": "N s of", r"after \d+ ms": "after N ms", r"\b[0-9a-f]{40}\b": "COMMIT"}


class Core:
    """Fake core node with the golden file's answers; `changed` replaces some of them, and `later` some after an order."""

    def __init__(self, *, changed=None, later=None):
        self.answers = {**ANSWERS, **(changed or {})}
        self.has_order = threading.Event()
        core = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def answer(self):
                self.rfile.read(int(self.headers.get("Content-Length") or 0))
                status, body = core.answers.get(f"{self.command} {self.path}", [404, {"error": "Not Found"}])
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
                if self.command == "POST":
                    core.answers.update(later or {})
                    core.has_order.set()

            do_GET = do_POST = do_DELETE = answer

            def log_message(self, *_about):
                """Suppresses the log of requests."""

        self._server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_about):
        self._server.shutdown()
        self._server.server_close()


def normalize(text: str, address: str) -> str:
    """Returns a printed text with placeholders for the fake core's address, durations and commit ids."""
    text = USAGE_MARK if text == USAGE else text.replace(address, "CORE")
    for pattern, mark in VARYING.items():
        text = re.sub(pattern, mark, text)
    return text


def run_case(case: dict, folder) -> dict:
    """Runs one case and returns exit code and output; FOLDER in its words stands for an empty folder."""
    with Core(changed=case.get("changed"), later=case.get("later")) as core:
        words = [word.replace("FOLDER", str(folder)) for word in case["words"]]
        for before in case.get("before", ()):
            run(*[word.replace("FOLDER", str(folder)) for word in before], "--core", core.address)
        done = run(*words, "--core", core.address + case.get("more", ""))
    assert "Traceback" not in done.stderr
    text = normalize(done.stdout, core.address)
    is_json = text[:1] in ("{", "[") and case.get("is_json", True)
    return {
        "code": done.returncode,
        "json" if is_json else "out": json.loads(text) if is_json else text.replace(str(folder), "FOLDER"),
        "error": normalize(done.stderr, core.address).replace(str(folder), "FOLDER"),
    }


def flags() -> dict:
    """Returns type, default, meaning and choices of each flag that this program itself defines."""
    root = xml.etree.ElementTree.fromstring(run("--helpxml").stdout)
    rows = [{part.tag: part.text or "" for part in flag} for flag in root.iter("flag")]
    own = [row for row in rows if "absl" not in row["file"]]
    return {
        row["name"]: {"type": row["type"], "default": row["default"], "meaning": row["meaning"], **_choices(row)}
        for row in own
    }


def _choices(row: dict) -> dict:
    return {"choices": row["enum_value"]} if "enum_value" in row else {}


@pytest.mark.parametrize("number", range(len(COMMAND["cases"])))
def test_verb_output_and_exit_code_match_the_golden_file(number, tmp_path):
    case = COMMAND["cases"][number]
    assert run_case(case, tmp_path / "kept") == case["told"], case["words"]


def test_interrupted_drill_exits_with_the_published_code():
    with Core() as core:
        arguments = _subprocess_arguments(["drill", "za", "--watch_s", "60", "--core", core.address])
        process = subprocess.Popen(**arguments, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        try:
            assert core.has_order.wait(timeout=30)
            process.send_signal(signal.SIGINT)
            out, _error = process.communicate(timeout=30)
        finally:
            process.kill()
    assert process.returncode == COMMAND["interrupted"] and out.startswith("interrupted")


def test_flags_match_the_published_names_types_and_defaults():
    assert flags() == COMMAND["flags"]


def test_misuse_prints_the_published_usage_and_exits_2():
    for words in ((), ("nothing",), ("drill",), ("custody",), ("keep",), ("core", "more"), ("rollout", "start", "a")):
        done = run(*words, "--core", "127.0.0.1:9")
        assert (done.returncode, done.stdout, done.stderr) == (2, "", USAGE)


def test_golden_file_has_a_case_for_each_verb_of_the_usage():
    verbs = set(re.findall(r"^  ([a-z-]+)", USAGE, re.M)) | {"restore"}
    assert verbs == {case["words"][0] for case in COMMAND["cases"]} | {"core", "proxy", "store", "check", "simulate"}


@pytest.mark.parametrize("verb", ["check", "core", "proxy", "store"])
def test_node_with_invalid_settings_exits_with_the_published_error(verb, tmp_path):
    path = tmp_path / "node.conf"
    for text, expected in COMMAND["settings"]:
        path.write_text(text, encoding="utf-8")
        done = run(verb, settings=str(path))
        assert (done.returncode, done.stdout, done.stderr) == (2, "", expected)
    done = run(verb)
    assert (done.returncode, done.stderr) == (2, COMMAND["no_settings"])


def test_check_prints_the_published_line_for_valid_settings(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text((FOLDER / "settings.txt").read_text(encoding="utf-8"), encoding="utf-8")
    done = run("check", settings=str(path))
    assert (done.returncode, done.stdout) == (0, COMMAND["check"])


@pytest.mark.parametrize("row", COMMAND["simulate"])
def test_simulate_summary_line_matches_the_published_pattern(row):
    done = run("simulate", *row["words"])
    assert done.returncode == row["code"]
    assert re.fullmatch(row["last_line"], (done.stdout + done.stderr).splitlines()[-1])

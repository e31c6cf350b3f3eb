"""HTTP client, based on pycurl, by which operators' tools call the published interfaces of the core nodes."""

import io
import json
from collections.abc import Iterable
from typing import Any

import pycurl

from ploverward.command_line import options
from ploverward.common import errors
from ploverward.common import settings as settings_files

RETRY_STATUSES = (307, 408, 429)  # besides 5xx; 307 is left only if nodes redirect to each other in a loop
CALL_TIMEOUT_S = 5.0  # longer than the 1 s within which a core node answers or gives up
MAX_REDIRECTS = 3

Response = tuple[int, Any]  # HTTP status; the parsed JSON body, or None if it is no JSON
UnreachableNodes = dict[str, str]  # reason by node address


class CoreClient:
    """Client for a list of core nodes.

    Args:
        addresses: ADDRESS:PORT of each node.
        limit_s: Timeout of one call in seconds.

    Raises:
        InvalidArgumentError: No address is given.
    """

    def __init__(self, *, addresses: Iterable[str], limit_s: float = CALL_TIMEOUT_S) -> None:
        self.addresses = tuple(addresses)
        if not self.addresses:
            raise errors.InvalidArgumentError(
                "no core node named: use --core ADDRESS:PORT or PLOVERWARD_NODE_FILE", step="call"
            )
        self._limit_s = limit_s

    def call_node(
        self, *, address: str, method: str, path: str, data: bytes = b"", max_redirects: int = MAX_REDIRECTS
    ) -> Response:
        """Calls one node and follows its redirects to other nodes.

        Raises:
            CoreUnreachableError: A connection failed, or no response came in time.
        """
        url = f"http://{address}{path}"
        status, text = 0, b""
        for _attempt in range(max_redirects):
            try:
                status, text, target = self._perform(url=url, method=method, data=data)
            except pycurl.error as error:
                raise errors.CoreUnreachableError(str(error.args[-1]), step=f"{method} {path}", peer=address) from None
            if status != 307 or not target:
                break
            url = target
        try:
            return status, json.loads(text or b"null")
        except ValueError:
            return status, None

    def _perform(self, *, url: str, method: str, data: bytes) -> tuple[int, bytes, str | None]:
        curl = pycurl.Curl()
        body = io.BytesIO()
        try:
            curl.setopt(pycurl.URL, url)
            curl.setopt(pycurl.CUSTOMREQUEST, method)
            if data:
                curl.setopt(pycurl.POSTFIELDS, data)
                curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
            curl.setopt(pycurl.NOPROXY, "*")
            curl.setopt(pycurl.NOSIGNAL, 1)
            curl.setopt(pycurl.TIMEOUT_MS, int(self._limit_s * 1000))
            curl.setopt(pycurl.WRITEFUNCTION, body.write)
            curl.perform()
            return curl.getinfo(pycurl.RESPONSE_CODE), body.getvalue(), curl.getinfo(pycurl.REDIRECT_URL)
        finally:
            curl.close()

    def call_any(self, *, method: str, path: str, data: bytes = b"") -> Response:
        """Calls the nodes in turn and returns the first conclusive response.

        A 5xx status or one of `RETRY_STATUSES` is inconclusive: the next node is called.

        Raises:
            CoreUnreachableError: No node gave a conclusive response; holds the reason of the last node.
        """
        last: errors.CoreUnreachableError | None = None
        for address in self.addresses:
            try:
                status, body = self.call_node(address=address, method=method, path=path, data=data)
            except errors.CoreUnreachableError as error:
                last = error
                continue
            if status < 500 and status not in RETRY_STATUSES:
                return status, body
            last = errors.CoreUnreachableError(f"answered {status}", step=f"{method} {path}", peer=address)
        assert last is not None
        raise last

    def read_all(self, *, path: str) -> tuple[dict[str, Response], UnreachableNodes]:
        """Reads a path from each node; returns the responses by address, and the nodes that could not be reached."""
        responses: dict[str, Response] = {}
        unreachable: UnreachableNodes = {}
        for address in self.addresses:
            try:
                responses[address] = self.call_node(address=address, method="GET", path=path)
            except errors.CoreUnreachableError as error:
                unreachable[address] = error.text
        return responses, unreachable


def connect() -> CoreClient:
    """Returns a client for the core nodes of `--core`, or else for the seed nodes of the settings file.

    Raises:
        SettingsError: The settings file, or an address, is missing or malformed.
    """
    addresses = options.FLAGS.core or [f"{host}:{port}" for host, port in settings_files.load().seeds]
    for address in addresses:
        settings_files.parse_address(text=address, field="--core")
    return CoreClient(addresses=addresses)


def read_from_all(
    *, core_client: CoreClient, path: str, step: str
) -> tuple[dict[str, dict[str, Any]], UnreachableNodes]:
    """Reads a path from each core node, of which at least one must answer.

    Args:
        core_client: Calls the core nodes.
        path: Path to read.
        step: The verb, for the error message.

    Returns:
        The body of each response with status 200 by node address, and the nodes that could not be reached. A node
        that answers with another status is in neither.

    Raises:
        InsufficientDataError: No node answered with 200.
    """
    answers, unreachable = core_client.read_all(path=path)
    responses = {address: body for address, (status, body) in answers.items() if status == 200}
    if not responses:
        raise errors.InsufficientDataError("no core node answers", step=step)
    return responses, unreachable

"""Calls of operator tools to the published interfaces of the core nodes, by pycurl."""

import io
import json

import pycurl

from ploverward.common import errors

NO_ANSWER = (307, 408, 429)  # besides 5xx; 307 stays only where nodes send on to each other


class CoreClient:
    """Tries the given core nodes in turn; names those that it can't reach."""

    def __init__(self, *, addresses, limit_s: float = 5.0):
        if not addresses:
            raise errors.PloverwardError(
                "no core node named: use --core ADDRESS:PORT or PLOVERWARD_NODE_FILE", step="call"
            )
        self.addresses = tuple(addresses)
        self._limit_s = limit_s

    def one(self, *, address: str, method: str, path: str, data: bytes = b"", max_redirects: int = 3) -> tuple:
        """(status, body) of one node, or raises Unreachable."""
        url = f"http://{address}{path}"
        for _round in range(max_redirects):
            curl = pycurl.Curl()
            body = io.BytesIO()
            curl.setopt(pycurl.URL, url)
            curl.setopt(pycurl.CUSTOMREQUEST, method)
            if data:
                curl.setopt(pycurl.POSTFIELDS, data)
                curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
            curl.setopt(pycurl.NOPROXY, "*")
            curl.setopt(pycurl.NOSIGNAL, 1)
            curl.setopt(pycurl.TIMEOUT_MS, int(self._limit_s * 1000))
            curl.setopt(pycurl.WRITEFUNCTION, body.write)
            try:
                curl.perform()
                status = curl.getinfo(pycurl.RESPONSE_CODE)
                following = curl.getinfo(pycurl.REDIRECT_URL)
            except pycurl.error as fault:
                raise errors.QuorumUnavailableError(
                    str(fault.args[-1]), step=f"{method} {path}", peer=address
                ) from None
            finally:
                curl.close()
            if status == 307 and following:
                url = following
                continue
            break
        try:
            return status, json.loads(body.getvalue() or b"null")
        except ValueError:
            return status, None

    def any(self, *, method: str, path: str, data: bytes = b"") -> tuple:
        """(status, body) of the first node that gives a clear answer."""
        last = None
        for address in self.addresses:
            try:
                status, body = self.one(address=address, method=method, path=path, data=data)
            except errors.QuorumUnavailableError as fault:
                last = fault
                continue
            if status < 500 and status not in NO_ANSWER:
                return status, body
            last = errors.QuorumUnavailableError(f"answered {status}", step=f"{method} {path}", peer=address)
        raise last

    def all(self, *, path: str) -> tuple:
        """({address: (status, body)}, {address: why it could not be reached})."""
        responses, missed = {}, {}
        for address in self.addresses:
            try:
                responses[address] = self.one(address=address, method="GET", path=path)
            except errors.QuorumUnavailableError as fault:
                missed[address] = fault.text
        return responses, missed

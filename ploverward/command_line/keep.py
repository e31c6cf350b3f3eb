"""ploverward keep: the configuration in force, kept in a Git object store by dulwich (docs/operations.md)."""

import json
import os

from dulwich import porcelain
from dulwich import repo as repos

from ploverward.common import errors
from ploverward.common import tenant_usage

FILE_NAME = "configuration.json"
AUTHOR = b"ploverward <ploverward@localhost>"


def without_keys(body: dict) -> dict:
    """The configuration with a digest in place of each key of a tenant."""
    if not body.get("senders"):
        return body
    tenant_rows = [
        {**row, "apiKeys": [tenant_usage.key_digest(key) for key in row.get("apiKeys") or ()]}
        for row in body["senders"]
    ]
    return {**body, "senders": tenant_rows}


class ConfigurationRepository:
    def __init__(self, *, folder: str):
        self.folder = folder
        if os.path.isdir(os.path.join(folder, ".git")):
            self._repo = repos.Repo(folder)
        else:
            os.makedirs(folder, exist_ok=True)
            self._repo = repos.Repo.init(folder)

    def close(self) -> None:
        self._repo.close()

    def _commits(self) -> list:
        try:
            return [entry.commit for entry in self._repo.get_walker()]
        except KeyError:
            return []

    def _body_at(self, commit) -> dict:
        _mode, sha = self._repo[commit.tree][FILE_NAME.encode()]
        return json.loads(self._repo[sha].data)

    def log(self) -> list:
        """(edition, commit id), newest first."""
        return [(self._body_at(commit)["edition"], commit.id.decode()) for commit in self._commits()]

    def keep(self, *, body: dict):
        """The new commit's id, or None where the newest one holds the same. Keys of tenants are kept as digests."""
        body = without_keys(body)
        commits = self._commits()
        if commits:
            newest = self._body_at(commits[0])
            if newest == body:
                return None
            if newest["edition"] >= body["edition"]:
                raise errors.PloverwardError(
                    f"edition {body['edition']} is not above {newest['edition']}, the newest one kept",
                    step="keep",
                    peer=self.folder,
                )
        path = os.path.join(self.folder, FILE_NAME)
        with open(path, "w", encoding="utf-8") as handle:
            json.dump(body, handle, indent=2, sort_keys=True)
            handle.write("\n")
        porcelain.add(self._repo, paths=[path])
        made = porcelain.commit(self._repo, message=b"edition %d" % body["edition"], author=AUTHOR, committer=AUTHOR)
        return made.decode()

    def show(self, *, edition: int) -> dict:
        for commit in self._commits():
            body = self._body_at(commit)
            if body["edition"] == edition:
                return body
        raise errors.PloverwardError(f"edition {edition} is not kept here", step="show", peer=self.folder)

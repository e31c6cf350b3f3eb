"""`ploverward keep`: keeps the active configuration in a Git repository, by dulwich (docs/operations.md)."""

import json
import os
from typing import Any

from dulwich import porcelain
from dulwich import repo as repos

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import output
from ploverward.common import errors
from ploverward.common import tenant_usage

FILE_NAME = "configuration.json"
AUTHOR = b"ploverward <ploverward@localhost>"

Body = dict[str, Any]  # a configuration in the form that operators send


def command(_verb: str, arguments: list[str]) -> int:
    """Commits the active configuration to a folder, or prints an edition that is kept there."""
    match arguments:
        case [folder]:
            return _commit_current(folder)
        case [folder, edition] if edition.isdigit():
            return _print_edition(folder, edition=int(edition))
    raise exit_codes.UsageError


def _commit_current(folder: str) -> int:
    repository = ConfigurationRepository(folder=folder)
    status, body = core_clients.connect().call_any(method="GET", path="/ploverward/configuration")
    if status != 200:
        raise errors.UnexpectedAnswerError(status=status, step="keep")
    commit_id = repository.keep(body=body)
    print(f"edition {body['edition']}: {commit_id or 'kept already'}")
    return exit_codes.ExitCode.SUCCESS


def _print_edition(folder: str, *, edition: int) -> int:
    output.print_json(ConfigurationRepository(folder=folder).show(edition=edition), out=print, sort_keys=True)
    return exit_codes.ExitCode.SUCCESS


def with_key_digests(body: Body) -> Body:
    """Returns the configuration with each tenant key replaced by its digest."""
    if not body.get("senders"):
        return body
    tenant_rows = [
        {**row, "apiKeys": [tenant_usage.key_digest(key) for key in row.get("apiKeys") or ()]}
        for row in body["senders"]
    ]
    return {**body, "senders": tenant_rows}


class ConfigurationRepository:
    """Git repository with one commit per kept edition; editions only increase.

    Args:
        folder: Path of the repository, which is created if it does not exist.

    Attributes:
        folder: Path of the repository.
    """

    def __init__(self, *, folder: str) -> None:
        self.folder = folder
        if os.path.isdir(os.path.join(folder, ".git")):
            self._repo = repos.Repo(folder)
        else:
            os.makedirs(folder, exist_ok=True)
            self._repo = repos.Repo.init(folder)

    def close(self) -> None:
        """Closes the repository's files."""
        self._repo.close()

    def log(self) -> list[tuple[int, str]]:
        """Returns edition and id of each commit, newest first."""
        return [(self._body_at(commit)["edition"], commit.id.decode()) for commit in self._commits()]

    def keep(self, *, body: Body) -> str | None:
        """Commits a configuration, with tenant keys replaced by digests.

        Returns:
            The id of the new commit, or None if the newest commit holds the same configuration.

        Raises:
            KeptEditionError: The newest commit holds another configuration with this edition or a higher one.
        """
        body = with_key_digests(body)
        commits = self._commits()
        if commits:
            newest = self._body_at(commits[0])
            if newest == body:
                return None
            if newest["edition"] >= body["edition"]:
                raise errors.KeptEditionError(
                    f"edition {body['edition']} is not above {newest['edition']}, the newest one kept",
                    step="keep",
                    peer=self.folder,
                )
        path = os.path.join(self.folder, FILE_NAME)
        with open(path, "w", encoding="utf-8") as handle:
            json.dump(body, handle, indent=2, sort_keys=True)
            handle.write("\n")
        porcelain.add(self._repo, paths=[path])
        commit_id = porcelain.commit(
            self._repo, message=b"edition %d" % body["edition"], author=AUTHOR, committer=AUTHOR
        )
        return commit_id.decode()

    def show(self, *, edition: int) -> Body:
        """Returns the configuration of an edition.

        Raises:
            KeptEditionError: The repository does not hold this edition.
        """
        for commit in self._commits():
            body = self._body_at(commit)
            if body["edition"] == edition:
                return body
        raise errors.KeptEditionError(f"edition {edition} is not kept here", step="show", peer=self.folder)

    def _commits(self) -> list[Any]:
        try:
            return [entry.commit for entry in self._repo.get_walker()]
        except KeyError:
            return []  # a repository without commits has no HEAD

    def _body_at(self, commit: Any) -> Body:  # noqa: ANN401  # dulwich's commit
        objects: Any = self._repo  # the types of its objects depend on the repository's content
        _mode, sha = objects[commit.tree][FILE_NAME.encode()]
        return json.loads(objects[sha].data)

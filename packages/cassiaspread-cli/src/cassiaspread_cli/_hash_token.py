"""Command ``hash-token``."""

import argparse
import getpass
import sys

import msgspec

from cassiaspread_cli._context import CommandError, Context, ExitStatus
from cassiaspread_cli._output import print_json
from cassiaspread_core.policy import hash_token


class TokenHash(msgspec.Struct, frozen=True):
    """Hash of a token.

    :param token_sha256: the hash in the format of configuration files.
    """

    token_sha256: str


async def print_hash(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Read a token from standard input, strip whitespace and print its hash.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    is_terminal = sys.stdin.isatty()
    token = getpass.getpass("Token: ") if is_terminal else sys.stdin.read()
    token = token.strip()
    if not token or any(character.isspace() for character in token):
        raise CommandError(
            ExitStatus.BAD_INPUT,
            "standard input is no token",
            'Give one word, for example: printf %s "$TOKEN" | cassiaspread hash-token',
        )
    token_hash = TokenHash(hash_token(token))
    if context.is_json:
        print_json(token_hash)
    else:
        print(token_hash.token_sha256)
    return ExitStatus.DONE

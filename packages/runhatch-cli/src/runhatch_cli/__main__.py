"""Entry point and subcommands of ``runhatch``."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from runhatch_cli._apply import apply_document, read_document, wait_until_in_force
from runhatch_cli._client import DEFAULT_NODE, NODE_VARIABLE, NodeClient
from runhatch_cli._errors import CommandError
from runhatch_cli._explain import explain_request
from runhatch_cli._language import Sentence, SentenceKind, parse
from runhatch_cli._render import OutputFormat, show_document, show_records
from runhatch_cli._where import describe_verdict

app = typer.Typer(
    help="Query and control a runhatch system.",
    epilog='example: runhatch query "show models where loaded on w3"',
    no_args_is_help=True,
)
config = typer.Typer(help="Show and compare configurations.", no_args_is_help=True)
app.add_typer(config, name="config")

NodeOption = Annotated[
    str,
    typer.Option("--node", envvar=NODE_VARIABLE, help="Operator address of any node."),
]
OutputOption = Annotated[OutputFormat, typer.Option("--output", help="Output format.")]


@app.command()
def query(
    sentence: Annotated[list[str], typer.Argument(help="A query or command.")],
    node: NodeOption = DEFAULT_NODE,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Run a query or command written in the query language.

    Example: runhatch query "show requests where status != 200 limit 20"
    """
    _run_sentence(NodeClient(node), parse(" ".join(sentence)), output)


@app.command()
def apply(
    file: Annotated[Path, typer.Argument(help="Configuration, JSON with comments.")],
    node: NodeOption = DEFAULT_NODE,
    base: Annotated[
        int | None,
        typer.Option(
            help="Revision the change is based on; default: the one in force."
        ),
    ] = None,
    note: Annotated[str, typer.Option(help="Note for the history.")] = "",
    wait: Annotated[
        list[str] | None,
        typer.Option(
            help="Wait until it is in force on the node at this address; repeatable."
        ),
    ] = None,
    seconds: Annotated[float, typer.Option(help="Maximum wait, in seconds.")] = 5.0,
) -> None:
    """Apply a configuration atomically.

    Example: runhatch apply deployment.json5 --note "two more models"
    """
    client = NodeClient(node)
    revision = apply_document(client, read_document(file), base, note)
    if wait:
        took = wait_until_in_force([NodeClient(url) for url in wait], revision, seconds)
        print(f"revision {revision} in force on {len(wait)} nodes after {took:.1f} s")
    else:
        print(f"revision {revision} accepted")


@app.command()
def status(
    node: NodeOption = DEFAULT_NODE, output: OutputOption = OutputFormat.TABLE
) -> None:
    """Show a summary of the system as a node sees it.

    Example: runhatch status --node http://10.0.0.4:7402
    """
    client = NodeClient(node)
    for noun in ("configuration", "nodes", "leases", "targets"):
        if output is OutputFormat.TABLE:
            print(f"\n{noun}")
        records = client.post("/v1/query", {"noun": noun})["records"]
        show_records(records, output)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="The request's id.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files of all nodes.")],
) -> None:
    """Explain from logs why a request ended as it did.

    Example: runhatch explain 9c41d07be2a35f68 logs/*.log
    """
    explanation = explain_request(request_id, logs)
    for line in explanation.lines:
        print(line)
    if explanation.incomplete_lines:
        print(f"{explanation.incomplete_lines} incomplete lines were skipped")
    print(f"cause: {explanation.cause}")


@app.command()
def where(
    pool: Annotated[str, typer.Argument(help="Pool of the model.")],
    model: Annotated[str, typer.Argument(help="Name of the model.")],
    adapter: Annotated[
        str | None, typer.Option(help="Name of an adapter of the model.")
    ] = None,
    priority: Annotated[
        int | None,
        typer.Option(
            min=0,
            max=7,
            help="0 (most urgent) to 7; default: that of a request that states none.",
        ),
    ] = None,
    node: NodeOption = DEFAULT_NODE,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show where a request would go now and why, without sending it.

    Example: runhatch where reader m4 --adapter a3 --priority 1
    """
    arguments = {"pool": pool, "model": model}
    if adapter is not None:
        arguments["adapter"] = adapter
    if priority is not None:
        arguments["priority"] = str(priority)
    answer = NodeClient(node).get("/v1/where", **arguments)
    if output is OutputFormat.JSON:
        show_document(answer, output)
        return
    print(describe_verdict(answer))
    show_records(answer["candidates"], output)


@config.command("show")
def config_show(
    node: NodeOption = DEFAULT_NODE,
    revision: Annotated[
        int, typer.Option(help="Number; 0 means the revision in force.")
    ] = 0,
) -> None:
    """Show a revision of the configuration.

    Example: runhatch config show --revision 12
    """
    answer = NodeClient(node).get("/v1/configuration", revision=str(revision))
    show_document(answer, OutputFormat.JSON)


@config.command("history")
def config_history(
    node: NodeOption = DEFAULT_NODE, output: OutputOption = OutputFormat.TABLE
) -> None:
    """Show all revisions with author and time.

    Example: runhatch config history --output json
    """
    show_records(NodeClient(node).get("/v1/history")["records"], output)


@config.command("diff")
def config_diff(
    old: Annotated[int, typer.Argument(help="Old revision.")],
    new: Annotated[
        int, typer.Argument(help="New revision; 0 means the revision in force.")
    ] = 0,
    node: NodeOption = DEFAULT_NODE,
) -> None:
    """Show the differences between two revisions.

    Example: runhatch config diff 11 12
    """
    answer = NodeClient(node).get(
        "/v1/difference", **{"from": str(old), "to": str(new)}
    )
    print(answer["difference"])


def main() -> None:
    """Run the command line; exits with the code of the error raised."""
    try:
        app()
    except CommandError as error:
        print(f"runhatch: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


def _run_sentence(node: NodeClient, sentence: Sentence, output: OutputFormat) -> None:
    match sentence.kind:
        case SentenceKind.QUERY:
            answer = node.post("/v1/query", sentence.document)
            show_records(answer["records"], output)
        case SentenceKind.COMMAND:
            answer = node.post("/v1/command", sentence.document)
            print(f"revision {answer['revision']} accepted")
        case SentenceKind.EXPLAIN_REQUEST:
            answer = node.get("/v1/explain/request", id=sentence.subject)
            show_document(answer, output)
        case SentenceKind.EXPLAIN_PLACEMENT:
            answer = node.get("/v1/explain/placement", model=sentence.subject)
            show_document(answer, output)
        case SentenceKind.PLAN:
            answer = node.get("/v1/plan", pool=sentence.subject)
            show_records(answer["records"], output)


if __name__ == "__main__":
    main()

"""Answers that engines break off inside their heads."""

import pytest

from tests.users_platform.deployment import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    wait_for,
)

GATEWAY = "gateway"
ENGINES = ("plain-0", "plain-1", "head-0", "head-1")
HEAD = "HTTP/1.1 200 OK\r\nResponse-Seal: seal\r\nAttempt-Id: {id}\r\n"
CUTS = {
    "status line": "HTTP/1.1 20",
    "status line without its end": "HTTP/1.1 200 OK\r",
    "name": HEAD + "Content-Le",
    "length": HEAD + "Content-Length: 1",
    "length of nothing": HEAD + "Content-Length: 0\r\n",
    "blank line": HEAD + "Content-Length: 0\r\n\r",
    "no length": HEAD,
    "chunked": HEAD + "Transfer-Encoding: chunked\r\n",
    "chunk size": HEAD + "Transfer-Encoding: chunked\r\n\r\n1",
    "trailer": HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-T",
    "after an interim answer": "HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD,
    "refusal": "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: {id}\r\n",
}


@pytest.fixture(scope="module")
def deployment(bare_module_deployment):
    deployment = bare_module_deployment
    deployment.publish_configuration(3)
    for name in ENGINES:
        is_plain = name.startswith("plain")
        service = PLAIN_SERVICE if is_plain else MODEL_SERVICE
        deployment.add_engine(name, service, "celje", "" if is_plain else "large")
    deployment.add_gateway(GATEWAY, "celje")
    wait_for(lambda: deployment.is_ready(GATEWAY))
    wait_for(lambda: deployment.request(GATEWAY, "/stock/1", "GET").status == 200)
    wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == 200)
    return deployment


@pytest.mark.parametrize("break_how", ["close", "reset"])
@pytest.mark.parametrize("cut", CUTS)
def test_answer_cut_inside_its_head_is_not_passed_on(deployment, cut, break_how):
    for name in ENGINES:
        deployment.control(name, cut_head=CUTS[cut], break_how=break_how)
    n_before = len(deployment.history("run"))
    answers = [
        deployment.request(GATEWAY, "/stock/1", "GET", Deadline_Ms="3000"),
        deployment.request(GATEWAY, "/book/1", Deadline_Ms="3000"),
        deployment.request_stream(GATEWAY, 3, Deadline_Ms="3000"),
    ]
    # All of them ran, so that none may be refused as not run.
    assert len(deployment.history("run")) >= n_before + len(answers)
    for answer in answers:
        assert answer.status in (502, 504), (answer.status, answer.body)
        assert "Response-Seal" not in answer.headers
    for name in ENGINES:
        deployment.control(name, cut_head=None)
    wait_for(lambda: deployment.request(GATEWAY, "/stock/1", "GET").status == 200)
    wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == 200)

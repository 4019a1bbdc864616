"""The ASGI application of an edge: client requests and the platform's readiness check."""

from kestrelplank.edge.client_exchange import ClientExchange
from kestrelplank.edge.exchange_context import ExchangeContext
from kestrelplank.http.asgi import Application, Receive, Scope, Send

READY, NOT_READY = 200, 503


def client_application(context: ExchangeContext, readiness_port: int) -> Application:
    """Return the application.

    :param readiness_port: requests to this port are readiness checks, whatever their path.
    """

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        exchange = ClientExchange(context, scope, receive, send)
        if scope["server"][1] == readiness_port:
            await exchange.answer(READY if context.readiness.is_ready() else NOT_READY, [], b"")
        else:
            await exchange.run()

    return application

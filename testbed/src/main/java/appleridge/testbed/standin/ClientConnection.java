package appleridge.testbed.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A client's connection; carries one request at a time. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    private final LoopbackClient client;
    private final RealTime time;
    private final StandInListener events;
    private final Channel channel;
    private LoopbackClient.Exchange exchange;
    private boolean written;
    private boolean first = true;
    private HttpResponse head;
    private final StringBuilder body = new StringBuilder();
    private Future<?> timeout;

    ClientConnection(
            LoopbackClient client, RealTime time, StandInListener events, Channel channel) {
        this.client = client;
        this.time = time;
        this.events = events;
        this.channel = channel;
    }

    void send(LoopbackClient.Exchange next) {
        exchange = next;
        written = false;
        head = null;
        body.setLength(0);
        StandInListener.Ask ask = next.ask();
        channel.writeAndFlush(request(ask))
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                channel.close();
                            } else if (exchange == next) {
                                written = true;
                                events.taken(ask.id(), time.nanos());
                            }
                        });
        if (exchange == next) {
            timeout =
                    channel.eventLoop()
                            .schedule(
                                    () ->
                                            end(
                                                    next.leaveAfter() < next.listenFor()
                                                            ? StandInListener.Ending.GAVE_UP
                                                            : StandInListener.Ending.SILENT),
                                    Math.min(next.leaveAfter(), next.listenFor()),
                                    TimeUnit.NANOSECONDS);
        }
    }

    private static ByteBuf request(StandInListener.Ask ask) {
        boolean safe = ask.kind().repeats() == RequestKind.Repeats.SAFE;
        StringBuilder text =
                new StringBuilder(safe ? "GET " : "POST ")
                        .append(ask.kind().path())
                        .append(" HTTP/1.1\r\nHost: orders.svc\r\nX-Request-Id: ")
                        .append(ask.id())
                        .append("\r\nX-Class: ")
                        .append(ask.kind().name())
                        .append("\r\nX-Tenant: ")
                        .append(ask.wholesaler())
                        .append("\r\nX-Deadline: ")
                        .append(TimeUnit.NANOSECONDS.toMillis(ask.patience()) / 1000.0);
        if (ask.key() != null) {
            text.append("\r\nIdempotency-Key: ").append(ask.key());
        }
        String order =
                safe ? "" : "{\"part\":\"chain-11\",\"dealer\":\"" + ask.wholesaler() + "\"}";
        if (!safe) {
            text.append("\r\nContent-Length: ").append(order.length());
        }
        return Unpooled.copiedBuffer(
                text.append("\r\n\r\n").append(order), StandardCharsets.US_ASCII);
    }

    void close() {
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (exchange == null || message.decoderResult().isFailure()) {
            if (exchange == null) {
                events.unasked(channel.localAddress().toString(), time.nanos());
            }
            channel.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            head = response;
        }
        if (message instanceof HttpContent content) {
            body.append(content.content().toString(StandardCharsets.ISO_8859_1));
            if (message instanceof LastHttpContent && head.status().code() >= 200) {
                responseComplete();
            }
        }
    }

    private void responseComplete() {
        LoopbackClient.Exchange done = exchange;
        exchange = null;
        first = false;
        timeout.cancel(false);
        int status = head.status().code();
        events.answered(done.ask().id(), status, body.toString(), time.nanos());
        if (HttpUtil.isKeepAlive(head)) {
            client.keep(this);
        } else {
            channel.close();
        }
        client.finished(done, status == 429 || status == 503, retryAfter());
    }

    private long retryAfter() {
        try {
            return (long)
                    (Double.parseDouble(head.headers().get(HttpHeaderNames.RETRY_AFTER, "-1"))
                            * TimeUnit.SECONDS.toNanos(1));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Ends the exchange without a complete answer and closes the connection. */
    private void end(StandInListener.Ending how) {
        if (exchange != null) {
            LoopbackClient.Exchange ended = exchange;
            exchange = null;
            timeout.cancel(false);
            events.ended(ended.ask().id(), how, time.nanos());
            client.finished(ended, false, 0);
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        client.forget(this);
        if (exchange == null) {
            return;
        }
        if (head == null && !first) {
            // A kept connection may be closed just as a request is sent; the request is sent again.
            LoopbackClient.Exchange again = exchange;
            exchange = null;
            timeout.cancel(false);
            events.sentAgain(again.ask().id(), time.nanos());
            client.sendOnNewConnection(again);
        } else if (head != null) {
            end(StandInListener.Ending.CUT);
        } else {
            end(written ? StandInListener.Ending.CLOSED_FIRST : StandInListener.Ending.NOT_TAKEN);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}

package barleyfall.lab.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.UnresolvedAddressException;
import java.util.function.BiConsumer;

/**
 * The listening socket at which one edge node finds one component. Its address belongs to this pair alone, so
 * the component knows which edge node has connected.
 * A closed listener refuses connections. While its link is cut, it silently accepts none: its backlog is set
 * to zero and filled, so that the kernel drops further SYN packets.
 */
public final class LinkListener {
    private static final int BACKLOG = 256;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Link link;
    private final ServerBootstrap bootstrap;
    private volatile Channel channel;
    /** The connection that fills the backlog while the link is cut, otherwise null. */
    private java.nio.channels.SocketChannel backlogFiller;

    /**
     * Creates a closed listener.
     *
     * @param addHandlers adds the component's handlers behind the link's own
     */
    public LinkListener(EventLoop loop, InetSocketAddress address, LabClock clock, Link link, long seed,
        BiConsumer<SocketChannel, LinkHandler> addHandlers) {
        this.loop = loop;
        this.address = address;
        this.link = link;
        java.util.SplittableRandom seeds = new java.util.SplittableRandom(seed);
        bootstrap = new ServerBootstrap().group(loop, loop).channel(EpollServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG).childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel c) {
                    LinkHandler handler = new LinkHandler(clock, link, true, seeds.nextLong());
                    c.pipeline().addLast(handler);
                    addHandlers.accept(c, handler);
                }
            });
        link.setListener(this);
    }

    /** Returns the address that the listener is bound to. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Starts to listen. Must not be called on an event loop.
     *
     * @throws IOException with the address, if that is in use
     */
    public void open() throws IOException {
        try {
            channel = bootstrap.bind(address).syncUninterruptibly().channel();
        } catch (RuntimeException | Error e) {
            throw e;
        } catch (Exception e) { // Netty throws checked exceptions that it does not declare
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
        setPassable(link.isPassable());
    }

    /** Stops to listen: new connections are refused, open ones are reset. */
    public void close() {
        Channel closing = channel;
        channel = null;
        if (closing != null) {
            closing.close().syncUninterruptibly();
        }
        loop.execute(this::closeBacklogFiller);
        link.reset();
    }

    /**
     * Makes the component available again after a crash: open connections are reset. A listener that is still
     * open keeps its socket. Closing and binding it again could fail: a process that is being started at that
     * moment holds a copy of the socket between fork and exec, and the address stays in use for as long.
     */
    public void reopen() throws IOException {
        if (channel == null) {
            open();
        } else {
            link.reset();
        }
    }

    /** Sets whether connections are accepted; while they are not, connection attempts get no answer. */
    void setPassable(boolean passable) {
        Channel current = channel;
        if (current == null) {
            return;
        }
        loop.execute(() -> {
            try {
                if (passable) {
                    setBacklog(current, BACKLOG);
                    current.config().setAutoRead(true);
                    closeBacklogFiller();
                } else if (backlogFiller == null) {
                    current.config().setAutoRead(false);
                    setBacklog(current, 0);
                    backlogFiller = java.nio.channels.SocketChannel.open();
                    backlogFiller.configureBlocking(false);
                    backlogFiller.connect(address);
                }
            } catch (IOException | UnresolvedAddressException e) {
                throw new UncheckedIOException(
                    new IOException("cannot change the backlog of the listener at " + address, e));
            }
        });
    }

    /** Changes the backlog of a listening socket. */
    private static void setBacklog(Channel channel, int backlog) throws IOException {
        if (channel.isOpen()) {
            new io.netty.channel.unix.Socket(((EpollServerSocketChannel) channel).fd().intValue())
                .listen(backlog);
        }
    }

    private void closeBacklogFiller() {
        try {
            if (backlogFiller != null) {
                backlogFiller.close();
            }
        } catch (IOException e) {
            // nothing is lost: the connection only occupied the backlog
        }
        backlogFiller = null;
    }
}

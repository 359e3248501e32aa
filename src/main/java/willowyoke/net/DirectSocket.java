package willowyoke.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;

/**
 * Calls on a connection's socket, past the event loop. What the loop knows of a socket is as old as its last
 * poll, and a process without processor time may be held up for long between that and what it does next.
 * Without the epoll transport there is no such call, and the last poll has to do.
 */
final class DirectSocket {
    /** What a read has found. */
    enum Input { NONE, READ, ENDED }

    private static final int READ_BYTES = 4096;
    /** States of a Linux TCP socket that is closed, or whose peer has sent its last byte. */
    private static final Set<Integer> STATES_BEHIND_PEERS_CLOSE = Set.of(7, 8, 9);

    private DirectSocket() { }

    /** Reads once. What is there is passed on through the pipeline, as any input. */
    static Input read(Channel channel) {
        return read(channel, false);
    }

    /** Whether the peer has closed the connection, also where input that came before is not read yet. */
    static boolean isClosedByPeer(Channel channel) {
        return !channel.isActive() || channel instanceof EpollSocketChannel epollChannel
            && STATES_BEHIND_PEERS_CLOSE.contains(epollChannel.tcpInfo().state());
    }

    /**
     * Shuts down the output if no input is there; nothing lies between the two calls. Input that is there is
     * passed on through the pipeline, and the output stays open.
     */
    static Input endOutputUnlessInput(SocketChannel channel) {
        if (!(channel instanceof EpollSocketChannel)) {
            channel.shutdownOutput();
            return Input.NONE;
        }
        Input input = read(channel, true);
        if (input == Input.NONE) {
            channel.shutdownOutput(); // has Netty know it, too
        }
        return input;
    }

    /**
     * Has the system keep back a last part of the output until it is released or the output is shut down: the
     * client then gets both at once. A system that can't do that sends it at once.
     */
    static void holdOutput(SocketChannel channel, boolean held) {
        if (channel instanceof EpollSocketChannel && channel.isActive()) {
            try {
                channel.config().setOption(EpollChannelOption.TCP_CORK, held);
            } catch (ChannelException unsupported) {
                return;
            }
        }
    }

    private static Input read(Channel channel, boolean endOutput) {
        if (!(channel instanceof EpollSocketChannel epollChannel)) {
            return Input.NONE;
        }
        if (!channel.isActive()) {
            return Input.ENDED;
        }
        Socket socket = (Socket) epollChannel.fd();
        ByteBuf buffer = channel.alloc().directBuffer(READ_BYTES);
        int count;
        try {
            ByteBuffer target = buffer.internalNioBuffer(0, READ_BYTES);
            count = socket.recv(target, target.position(), target.limit());
            if (count == 0 && endOutput) {
                socket.shutdown(false, true);
            }
        } catch (IOException e) {
            buffer.release();
            channel.pipeline().fireExceptionCaught(e);
            return Input.ENDED;
        }
        if (count <= 0) {
            buffer.release();
            return count == 0 ? Input.NONE : Input.ENDED;
        }
        channel.pipeline().fireChannelRead(buffer.writerIndex(count));
        channel.pipeline().fireChannelReadComplete();
        return Input.READ;
    }
}

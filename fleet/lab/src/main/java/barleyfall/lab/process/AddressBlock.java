package barleyfall.lab.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * The loopback addresses of one run, 127.R.0.0/16: each edge node has its own third octet and finds every
 * other party at addresses below it. A run reserves its block with a listening socket, so that two runs on
 * one machine never share a block; the kernel frees it when the process ends, however that happens.
 */
public final class AddressBlock implements AutoCloseable {
    private static final int FIRST_BLOCK = 20;
    private static final int BLOCK_COUNT = 200;
    private static final int CLAIM_PORT = 7400;
    private static final int SERVER_HOST_COUNT = 240;
    private static final int FIRST_SERVER_HOST = 10;
    private static final int FIRST_REPLICA_HOST = 4;
    /**
     * Third octet, less one, from which on replicas find each other; it lies behind those of all edge nodes.
     */
    private static final int FIRST_REPLICA_EDGE = 240;

    private final int block;
    private final ServerSocket claim;

    private AddressBlock(int block, ServerSocket claim) {
        this.block = block;
        this.claim = claim;
    }

    /** Reserves the first free block, starting from one that depends on the process id. */
    public static AddressBlock claim() throws IOException {
        int start = (int) (ProcessHandle.current().pid() % BLOCK_COUNT);
        IOException lastFailure = null;
        for (int i = 0; i < BLOCK_COUNT; i++) {
            int block = FIRST_BLOCK + (start + i) % BLOCK_COUNT;
            try {
                return new AddressBlock(block,
                    new ServerSocket(CLAIM_PORT, 1, InetAddress.getByName("127." + block + ".0.1")));
            } catch (IOException taken) {
                lastFailure = taken;
            }
        }
        throw new IOException("no free block of addresses from 127." + FIRST_BLOCK + ".0.0 to 127."
            + (FIRST_BLOCK + BLOCK_COUNT - 1) + ".0.0: "
            + (lastFailure == null ? "" : lastFailure.getMessage()), lastFailure);
    }

    private InetSocketAddress address(int edge, int host, int port) {
        return new InetSocketAddress("127." + block + "." + (1 + edge) + "." + host, port);
    }

    /** Returns the address on which an edge node listens for clients. */
    public InetSocketAddress edge(int edge) {
        return address(edge, 1, 6379);
    }

    /** Returns the control address of an edge node. */
    public InetSocketAddress control(int edge) {
        return address(edge, 1, 9900);
    }

    /** Returns the address at which an edge node finds its discovery agent. */
    public InetSocketAddress discovery(int edge) {
        return address(edge, 2, 8500);
    }

    /** Returns the address at which an edge node finds the shared counter. */
    public InetSocketAddress counter(int edge) {
        return address(edge, 3, 6400);
    }

    /** Returns the address at which an edge node finds a replica of the list service. */
    public InetSocketAddress replica(int edge, int replica) {
        return address(edge, FIRST_REPLICA_HOST + replica, 8500);
    }

    /**
     * Returns the address on which a replica of the list service serves HTTP; the lab's proxies connect to
     * it.
     */
    public InetSocketAddress replicaHttp(int replica) {
        return address(-1, FIRST_SERVER_HOST + replica, 8500);
    }

    /** Returns the address on which a replica listens for the other replicas. */
    public InetSocketAddress replicaRaft(int replica) {
        return address(-1, FIRST_SERVER_HOST + replica, 9870);
    }

    /** Returns the address at which one replica finds another. */
    public InetSocketAddress replicaRaft(int from, int to) {
        return address(FIRST_REPLICA_EDGE + from, FIRST_SERVER_HOST + to, 9870);
    }

    /** Returns the address at which an edge node finds the flag server on a machine. */
    public InetSocketAddress server(int edge, int machine) {
        return address(edge, FIRST_SERVER_HOST + machine % SERVER_HOST_COUNT,
            6379 + machine / SERVER_HOST_COUNT);
    }

    /** Formats an address as {@code host:port}. */
    public static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override public void close() throws IOException {
        claim.close();
    }
}

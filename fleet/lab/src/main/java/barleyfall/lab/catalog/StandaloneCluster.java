package barleyfall.lab.catalog;

import barleyfall.lab.net.LabClock;
import barleyfall.lab.process.AddressBlock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A cluster of replicas without a run around it, on addresses and event loops of its own, until closed. */
public final class StandaloneCluster implements AutoCloseable {
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, EpollIoHandler.newFactory());
    private final AddressBlock addresses = AddressBlock.claim();
    private final ReplicaCluster cluster;

    /** Starts the replicas; extra settings are TOML lines that are added to their configuration files. */
    public StandaloneCluster(int replicaCount, String extraSettings, Path folder) throws IOException {
        cluster = new ReplicaCluster(replicaCount, extraSettings, addresses, eventLoops, new LabClock(),
            folder);
        try {
            cluster.startAll();
        } catch (IOException failed) {
            close();
            throw failed;
        }
    }

    /** Returns the replicas; all run, and they have a leader. */
    public ReplicaCluster cluster() {
        return cluster;
    }

    @Override public void close() throws IOException {
        cluster.close();
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        addresses.close();
    }
}

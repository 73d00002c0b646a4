package io.quartzgw.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Wraps the I/O thread on which Undertow's client opens connections and keeps the future of the pending connection, so
 * that it can be cancelled. The client itself has no way to cancel a connection attempt.
 */
final class CancellableConnector extends XnioIoThread {
    private final XnioIoThread delegate;
    private IoFuture<StreamConnection> lastOpened;

    CancellableConnector(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.delegate = thread;
    }

    /** Returns and clears the future of the connection requested last, or null if there is none. */
    IoFuture<StreamConnection> takeLastOpened() {
        IoFuture<StreamConnection> last = lastOpened;
        lastOpened = null;
        return last;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        lastOpened = delegate.openStreamConnection(destination, openListener, options);
        return lastOpened;
    }

    @Override
    public void execute(Runnable task) {
        delegate.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        return delegate.executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        return delegate.executeAtInterval(task, time, unit);
    }
}

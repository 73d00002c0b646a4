package io.quartzgw.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Stands for an I/O thread where Undertow's client opens connections on it, and keeps hold of the connection in the
 * making: the client itself has no way to give one up.
 */
final class CancellableConnector extends XnioIoThread {
    private final XnioIoThread thread;
    private IoFuture<StreamConnection> takeLastOpened;

    CancellableConnector(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    /** The connection whose opening was asked for last, or null when none was. */
    IoFuture<StreamConnection> takeLastOpened() {
        IoFuture<StreamConnection> last = takeLastOpened;
        takeLastOpened = null;
        return last;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        takeLastOpened = thread.openStreamConnection(destination, openListener, options);
        return takeLastOpened;
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        return thread.executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        return thread.executeAtInterval(task, time, unit);
    }
}

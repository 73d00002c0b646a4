import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** All workers of a run, and what they are told of the jobs that users upload. */
final class Workers {
    /** How the tasks of a job run. */
    interface RunTime {
        /** Whether a task that has run for this long ends now. */
        boolean ends(int index, double ranS);
    }

    /** What happens on the machines. */
    interface Listener {
        void started(Worker worker, String task);

        void done(Worker worker, String task);

        default void failed(Worker worker, String task) {}

        void removed(Worker worker, String task);

        /** A controller has answered a report with 200. */
        void answered(int controller);
    }

    final double reportS;
    final double leaseS;
    final Controllers controllers;
    final Users users;
    final Listener listener;
    /** The tasks that have completed. Their results are kept. */
    final Set<String> results = ConcurrentHashMap.newKeySet();

    private final List<Worker> all = new ArrayList<>();

    Workers(double reportS, double leaseS, Controllers controllers, Users users, Listener listener) {
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.controllers = controllers;
        this.users = users;
        this.listener = listener;
    }

    synchronized Worker create(String id, Cloud.Type type, String zone) throws Exception {
        Worker worker = new Worker(id, type, zone, this);
        all.add(worker);
        return worker;
    }

    synchronized List<Worker> all() {
        return List.copyOf(all);
    }
}

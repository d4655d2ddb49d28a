import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** Judges what requesters and the platform have seen of processes that hang or end by themselves. */
final class Ends {
    private Ends() {
    }

    /**
     * The rule CONFIG for answers: of the requests that are still unanswered at their route's timeoutMs, eight at least, more than half have no
     * answer half a second later.
     */
    static int judgeAnswers(Deployment deployment, Requesters requesters) {
        tell(deployment);
        Log.line(requesters.sent + " requests sent, ended: " + requesters.ends);
        int late = requesters.late.values().stream().mapToInt(AtomicInteger::get).sum();
        int veryLate = requesters.veryLate.values().stream().mapToInt(AtomicInteger::get).sum();
        boolean isBroken = veryLate >= 8 && 2 * veryLate > late;
        Log.line((isBroken ? "BROKEN: CONFIG, " : "kept: ") + late + " plain requests had no answer at their route's timeoutMs, " + veryLate
            + " of them none half a second later; by machine " + requesters.veryLate);
        return isBroken ? 1 : 0;
    }

    /** The rule Fault: three ends in the day on a tenth of the machines in use, two at least, or on half of the core. */
    static int judgeEnds(Deployment deployment) {
        tell(deployment);
        List<Machines.Machine> all = deployment.machines.all();
        List<String> machines = all.stream().filter(machine -> machine.ownEnds >= 3).map(machine -> machine.address).collect(Collectors.toList());
        int tenth = Math.max(2, (all.size() + 9) / 10);
        boolean isBroken = machines.size() >= tenth;
        Log.line((isBroken ? "BROKEN: Fault, " : "kept: ") + "processes ended by themselves three times or more on " + machines.size() + " of " + all.size()
            + " machines " + machines);
        return isBroken ? 1 : 0;
    }

    private static void tell(Deployment deployment) {
        for (Machines.Machine machine : deployment.machines.all()) {
            Log.line(machine.role + " " + machine.address + ": " + machine.ownEnds + " ends of its own, " + machine.starts + " starts");
        }
    }
}

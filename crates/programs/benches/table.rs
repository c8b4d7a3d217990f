//! Cost of the program table: steps per second, record bytes per step and time to
//! import a program.

use std::time::Instant;

use bytes::Bytes;
use ibisdale_core::{AttemptKey, ProgramId, SlotId, StepNumber, TimeStamp, WorkspaceName};
use ibisdale_programs::{
    HistoryCompleteness, ProgramRecord, ProgramTable, StartRequest, StepAdmission, StepKind,
    StepOutcome, StepRequest, TableOptions,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const PROGRAMS: u32 = 80;
const STEPS: u32 = 60;
const REQUEST_BYTES: usize = 2_000;
const ANSWER_BYTES: usize = 5_000;

fn main() {
    let slot = SlotId::new(1).expect("valid slot");
    let now = TimeStamp::from_millis(1);
    let mut random = SmallRng::seed_from_u64(1);
    let mut table = ProgramTable::new(TableOptions::default());
    table.acquire_slot(slot, 1);
    table.open_slot(slot, HistoryCompleteness::Whole);
    let mut ids = Vec::new();
    let start = Instant::now();
    for _ in 0..PROGRAMS {
        let id = ProgramId::generate(slot, &mut random);
        run_program(&mut table, id, now);
        ids.push(id);
    }
    let seconds = start.elapsed().as_secs_f64();
    let steps = f64::from(PROGRAMS * STEPS);
    println!("{:>9.0} steps/s admitted and finished", steps / seconds);

    let histories: Vec<_> = ids.iter().filter_map(|id| table.export(*id)).collect();
    let start = Instant::now();
    let encoded: Vec<Vec<Bytes>> = histories.iter().map(|records| encode(records)).collect();
    println!(
        "{:>9.0} steps/s encoded",
        steps / start.elapsed().as_secs_f64()
    );
    let bytes: usize = encoded.iter().flatten().map(Bytes::len).sum();
    let payload =
        (REQUEST_BYTES + ANSWER_BYTES) * usize::try_from(PROGRAMS * STEPS).expect("fits usize");
    let overhead = (bytes - payload) / usize::try_from(PROGRAMS * STEPS).expect("fits usize");
    println!("{overhead:>9} record bytes per step besides request and answer");

    let start = Instant::now();
    let mut new_table = ProgramTable::new(TableOptions::default());
    new_table.acquire_slot(slot, 2);
    for records in &encoded {
        let records = records.iter().map(|bytes| ProgramRecord::from_bytes(bytes));
        let records: Vec<_> = records
            .map(|record| record.expect("valid record"))
            .collect();
        let imported = new_table.import(&records, |_| StepOutcome::Unknown, now);
        assert!(imported.is_ok());
    }
    let import_ms = start.elapsed().as_secs_f64() * 1_000.0 / f64::from(PROGRAMS);
    println!("{import_ms:>9.3} ms to decode and import a program of {STEPS} steps");
}

fn run_program(table: &mut ProgramTable, id: ProgramId, now: TimeStamp) {
    let workspace = WorkspaceName::new("bench").expect("valid name");
    let start = StartRequest::new(id, workspace.clone(), "planner");
    table.start(start, now).expect("program starts");
    for number in 1..=STEPS {
        let attempt = AttemptKey::new("attempt-1").expect("valid key");
        let kind = StepKind::Model {
            prompt_tokens: 500,
            max_tokens: 1_500,
        };
        let step = StepNumber::new(number);
        let payload = vec![b'q'; REQUEST_BYTES];
        let request = StepRequest::new(id, workspace.clone(), step, attempt, kind, payload);
        let Ok(StepAdmission::Run(ticket)) = table.admit_step(request, now) else {
            unreachable!("the step is next");
        };
        let outcome = StepOutcome::Completed {
            answer: vec![b'a'; ANSWER_BYTES].into(),
            tokens_used: 1_800,
        };
        table
            .finish_step(ticket, outcome, now)
            .expect("step finishes");
    }
}

fn encode(records: &[ProgramRecord]) -> Vec<Bytes> {
    let encoded = records.iter().map(ProgramRecord::to_bytes);
    encoded
        .map(|bytes| bytes.expect("records encode"))
        .collect()
}

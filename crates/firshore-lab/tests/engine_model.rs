//! The engine model: admission, preemption, memory, cache, resume, lag and fences.

use firshore_lab::engine_model::{
    CacheEventKind, Engine, EngineSettings, Event, Faults, Fence, Microseconds, Order, Outcome,
    Refusal, StaleFence, Submission,
};
use firshore_types::declaration::EngineRole;

const MINUTE: Microseconds = 60_000_000;

fn settings() -> EngineSettings {
    EngineSettings {
        slots: 2,
        cache_event_loss: 0.0,
        ..EngineSettings::default()
    }
}

fn request(id: &str, priority: u16, prompt_tokens: u32, maximum_tokens: u32) -> Submission {
    Submission {
        request_id: id.to_owned(),
        marker: id.to_owned(),
        priority,
        prompt_tokens,
        maximum_tokens,
        ..Submission::default()
    }
}

/// Steps from wake to wake until `until`.
fn run(engine: &mut Engine, until: Microseconds) -> Vec<Event> {
    let mut events = Vec::new();
    while let Some(wake) = engine.next_wake().filter(|wake| *wake <= until) {
        events.extend(engine.step(wake));
    }
    events.extend(engine.step(until));
    events
}

fn outcome(engine: &Engine, id: &str) -> Vec<Outcome> {
    let lines = engine.executions().iter();
    let own = lines.filter(|one| one.request_id == id);
    own.map(|one| one.outcome).collect()
}

fn first_token(events: &[Event]) -> Microseconds {
    let found = events.iter().find_map(|event| match event {
        Event::Token { at, .. } => Some(*at),
        _ => None,
    });
    found.expect("a token was generated")
}

#[test]
fn a_run_takes_the_time_of_its_equation() {
    let settings = settings();
    let mut engine = Engine::new(settings.clone(), 1);
    engine.submit(0, request("one", 200, 300, 3)).unwrap();
    let events = run(&mut engine, MINUTE);
    let prefill = settings.iteration(0, 0, 256) + settings.iteration(0, 0, 44);
    assert_eq!(first_token(&events), prefill);
    let end = prefill + settings.iteration(1, 301, 0) + settings.iteration(1, 302, 0);
    assert_eq!(engine.executions()[0].ended, Some(end));
    assert_eq!(outcome(&engine, "one"), [Outcome::Completed]);
}

#[test]
fn online_takes_the_slot_of_batch_at_the_next_iteration() {
    let mut engine = Engine::new(settings(), 1);
    engine.submit(0, request("item-1", 0, 10, 1000)).unwrap();
    engine.submit(0, request("item-2", 0, 10, 1000)).unwrap();
    let before = run(&mut engine, 1_000_000);
    assert!(before.iter().all(|event| !event.is_final()));
    let wake = engine.next_wake().unwrap();
    engine
        .submit(1_000_000, request("question", 200, 10, 5))
        .unwrap();
    let events = run(&mut engine, 2_000_000);
    assert_eq!(outcome(&engine, "item-2"), [Outcome::Preempted]);
    assert_eq!(outcome(&engine, "item-1"), [Outcome::Running]);
    let question = engine
        .executions()
        .iter()
        .find(|one| one.marker == "question");
    assert_eq!(question.unwrap().started, wake);
    let kept = events.iter().find_map(|event| match event {
        Event::Preempted { offset, .. } => Some(*offset),
        _ => None,
    });
    let mut resume = request("item-2", 0, 10, 1000);
    resume.resume_from = kept;
    let run_number = engine.submit(2_000_000, resume).unwrap();
    let resumed = run(&mut engine, 2_100_000);
    let offset = resumed.iter().find_map(|event| match event {
        Event::Token { run, offset, .. } if *run == run_number => Some(*offset),
        _ => None,
    });
    assert_eq!(offset, kept);
}

#[test]
fn batch_never_takes_a_slot_from_online() {
    let mut engine = Engine::new(settings(), 1);
    engine.submit(0, request("one", 130, 10, 500)).unwrap();
    engine.submit(0, request("two", 130, 10, 500)).unwrap();
    engine.submit(0, request("item", 127, 10, 5)).unwrap();
    engine.submit(0, request("three", 128, 10, 5)).unwrap();
    run(&mut engine, MINUTE);
    let started: Vec<&str> = engine
        .executions()
        .iter()
        .map(|one| one.marker.as_str())
        .collect();
    assert_eq!(started, ["one", "two", "three", "item"]);
}

#[test]
fn a_full_queue_refuses_or_gives_up_its_last_batch_request() {
    let settings = EngineSettings {
        slots: 1,
        queue_limit: 1,
        ..settings()
    };
    let mut engine = Engine::new(settings, 1);
    engine.submit(0, request("runs", 200, 10, 500)).unwrap();
    engine.submit(0, request("item", 0, 10, 5)).unwrap();
    assert_eq!(
        engine.submit(0, request("item-2", 0, 10, 5)),
        Err(Refusal::Full)
    );
    engine.submit(0, request("question", 200, 10, 5)).unwrap();
    let put_out = engine
        .step(1)
        .into_iter()
        .any(|event| matches!(event, Event::Refused { .. }));
    assert!(put_out);
    assert_eq!(
        engine.submit(0, request("more", 200, 10, 5)),
        Err(Refusal::Full)
    );
    run(&mut engine, MINUTE);
    assert_eq!(outcome(&engine, "item"), [Outcome::Refused]);
    assert_eq!(outcome(&engine, "question"), [Outcome::Completed]);
}

#[test]
fn a_known_prefix_costs_no_prefill_and_is_evicted_tail_first() {
    let settings = EngineSettings {
        kv_blocks: 12,
        cache_event_lag: 0,
        ..settings()
    };
    let mut engine = Engine::new(settings.clone(), 1);
    let mut first = request("first", 200, 160, 1);
    first.prompt_blocks = (1..=10).collect();
    engine.submit(0, first.clone()).unwrap();
    let cold = first_token(&run(&mut engine, MINUTE));
    first.request_id = "again".to_owned();
    engine.submit(MINUTE, first).unwrap();
    let warm = first_token(&run(&mut engine, 2 * MINUTE)) - MINUTE;
    assert_eq!(cold, settings.iteration(0, 0, 160));
    assert_eq!(warm, settings.iteration(0, 0, 1));
    engine
        .submit(2 * MINUTE, request("other", 200, 47, 1))
        .unwrap();
    let page = engine.cache_events(2 * MINUTE, 0);
    let evicted: Vec<u64> = page
        .events
        .iter()
        .filter(|event| event.kind == CacheEventKind::Evicted)
        .map(|event| event.block)
        .collect();
    assert_eq!(evicted, [10, 9]);
    assert!(engine.fresh_load().kv_blocks_used <= 12);
}

#[test]
fn memory_is_never_overbooked() {
    let settings = EngineSettings {
        slots: 8,
        kv_blocks: 40,
        ..settings()
    };
    let mut engine = Engine::new(settings, 1);
    for number in 0..200_u64 {
        let now = number * 7_000;
        let priority = if number % 3 == 0 { 200 } else { 5 };
        let mut one = request(&format!("r{number}"), priority, 64, 1 + number as u32 % 90);
        one.prompt_blocks = (0..4).map(|block| (number % 5) * 100 + block).collect();
        let _ = engine.submit(now, one);
        if number % 11 == 0 {
            engine.cancel(now, &format!("r{}", number.saturating_sub(3)));
        }
        engine.step(now);
        assert!(engine.fresh_load().kv_blocks_used <= 40);
    }
    run(&mut engine, 10 * MINUTE);
    let load = engine.fresh_load();
    assert_eq!((load.running, load.waiting), (0, 0));
    let unfinished = engine
        .executions()
        .iter()
        .any(|one| one.outcome == Outcome::Running);
    assert!(!unfinished);
}

#[test]
fn kept_generations_are_moved_and_expire() {
    let mut engine = Engine::new(settings(), 1);
    engine.submit(0, request("one", 200, 40, 20)).unwrap();
    run(&mut engine, 100_000);
    assert!(engine.cancel(100_000, "one"));
    let (export, _) = engine.export_kv(100_000, "one").unwrap();
    let offset = export.generated;
    assert!(offset > 0 && offset < 20);
    let mut other = Engine::new(settings(), 2);
    let mut resume = request("one", 200, 40, 20);
    resume.resume_from = Some(offset);
    assert_eq!(other.submit(0, resume.clone()), Err(Refusal::NotKept));
    other.import_kv(0, export).unwrap();
    other.submit(0, resume.clone()).unwrap();
    run(&mut other, MINUTE);
    assert_eq!(outcome(&other, "one").last(), Some(&Outcome::Completed));
    assert_eq!(engine.submit(3 * MINUTE, resume), Err(Refusal::NotKept));
}

#[test]
fn refusals_say_why_and_run_nothing() {
    let draining = Faults {
        draining: true,
        ..Faults::default()
    };
    let refusing = Faults {
        refuse: true,
        ..Faults::default()
    };
    let online = (EngineRole::Online, "m");
    let cases = [
        (online, draining, 200, "m", 10, Refusal::Draining),
        (online, refusing, 200, "m", 10, Refusal::Ordered),
        (online, Faults::default(), 5, "m", 10, Refusal::Role),
        (
            online,
            Faults::default(),
            200,
            "x",
            10,
            Refusal::Model("x".to_owned()),
        ),
        (
            online,
            Faults::default(),
            200,
            "m",
            1 << 20,
            Refusal::TooLong,
        ),
    ];
    for ((role, model), faults, priority, asked, tokens, refusal) in cases {
        let settings = EngineSettings {
            role,
            models: vec![model.to_owned()],
            ..settings()
        };
        let mut engine = Engine::new(settings, 1);
        engine.set_faults(0, faults);
        let mut one = request("one", priority, tokens, 1);
        one.model = asked.to_owned();
        assert_eq!(engine.submit(0, one), Err(refusal));
        assert_eq!(outcome(&engine, "one"), [Outcome::Refused]);
    }
}

#[test]
fn load_reports_lag() {
    let settings = settings();
    let lag = settings.load_lag + settings.load_interval;
    let mut engine = Engine::new(settings, 1);
    engine.step(MINUTE);
    engine
        .submit(MINUTE, request("one", 200, 10, 1000))
        .unwrap();
    assert_eq!(engine.fresh_load().running, 1);
    assert_eq!(engine.lagged_load(MINUTE + 50_000).running, 0);
    let late = engine.lagged_load(MINUTE + lag);
    assert_eq!(late.running, 1);
    assert!(late.age_milliseconds >= 150);
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let settings = EngineSettings {
        cache_event_loss: 0.5,
        ..settings()
    };
    let mut engine = Engine::new(settings, 7);
    let mut one = request("one", 200, 1600, 1);
    one.prompt_blocks = (1..=100).collect();
    engine.submit(0, one).unwrap();
    run(&mut engine, 500_000);
    let stored_at = engine.executions()[0].ended.unwrap();
    assert!(
        engine
            .cache_events(stored_at + 100_000, 0)
            .events
            .is_empty()
    );
    let page = engine.cache_events(stored_at + 200_000, 0);
    assert!(page.gap);
    assert!(!page.events.is_empty() && page.events.len() < 100);
    assert_eq!(page.next, 100);
    assert_eq!(engine.cache_events(MINUTE, 100).events, []);
}

#[test]
fn orders_are_fenced_idempotent_and_loads_take_their_time() {
    let mut engine = Engine::new(settings(), 1);
    let fence = |term, sequence| Fence { term, sequence };
    let load = Order::LoadModel {
        model: "m".to_owned(),
        version: "2".to_owned(),
    };
    let role = Order::SetRole {
        role: EngineRole::Batch,
    };
    engine.order(0, fence(3, 1), load.clone()).unwrap();
    engine.order(1, fence(3, 1), load.clone()).unwrap();
    let held = StaleFence::Held(fence(3, 1));
    assert_eq!(
        engine.order(2, fence(3, 1), role.clone()),
        Err(held.clone())
    );
    assert_eq!(engine.order(2, fence(2, 9), role.clone()), Err(held));
    engine.order(3, fence(3, 2), role).unwrap();
    assert_eq!(engine.fresh_load().loading.as_deref(), Some("m"));
    run(&mut engine, MINUTE);
    assert_eq!(engine.model_version("m"), Some("2"));
    assert_eq!(engine.fresh_load().role, EngineRole::Batch);
    assert_eq!(engine.fresh_load().loading, None);
}

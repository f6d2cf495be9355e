//! Experiments that compare variants in one run:
//! `cargo run --release --example experiment -- NAME`.

mod crashing_parts;
mod fleet;
mod overhead;
mod overload;
mod permits;
mod routing;
mod shares;
mod spread;

use {
    anyhow::{bail, Result},
    getopts::Options,
    serde_json::{json, Value},
};

const NAMES: &str =
    "routing, routing-hot, batch-ahead, permits, shares, overload, overhead, spread, crashing-parts";

#[tokio::main]
async fn main() -> Result<()> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "seeds", "seeds for each variant (3)", "COUNT");
    options.optopt(
        "",
        "span",
        "seconds of load for each variant (16)",
        "SECONDS",
    );
    options.optopt("", "json", "write the rows to a file as well", "FILE");
    let matches = options.parse(std::env::args().skip(1))?;
    let usage = format!("Usage: experiment [OPTIONS] NAME\n\nNAME is one of: {NAMES}");
    if matches.opt_present("help") {
        print!("{}", options.usage(&usage));
        return Ok(());
    }
    let plan = fleet::Plan {
        seeds: matches.opt_get_default("seeds", 3)?,
        span_s: matches.opt_get_default("span", 16)?,
    };
    let name = matches.free.first().map(String::as_str);
    let rows = match name {
        Some("routing") => routing::run(&plan).await?,
        Some("routing-hot") => routing::run_hot(&plan).await?,
        Some("batch-ahead") => routing::run_batch_ahead(&plan).await?,
        Some("permits") => permits::run(&plan).await?,
        Some("shares") => shares::run(&plan).await?,
        Some("overload") => overload::run(&plan).await?,
        Some("overhead") => overhead::run(&plan).await?,
        Some("spread") => spread::run().await?,
        Some("crashing-parts") => crashing_parts::run(&plan),
        _ => bail!("expected one of: {NAMES}"),
    };
    print_table(&rows);
    if let Some(file) = matches.opt_str("json") {
        std::fs::write(file, serde_json::to_vec_pretty(&json!({ "rows": rows }))?)?;
    }
    Ok(())
}

/// Prints rows as a Markdown table with their keys as its head.
fn print_table(rows: &[Value]) {
    let Some(Value::Object(first)) = rows.first() else {
        return;
    };
    let keys: Vec<&String> = first.keys().collect();
    let head: Vec<&str> = keys.iter().map(|k| k.as_str()).collect();
    println!("| {} |", head.join(" | "));
    println!("|{}", "---|".repeat(keys.len()));
    for row in rows {
        let cells: Vec<String> = keys.iter().map(|k| cell(&row[k.as_str()])).collect();
        println!("| {} |", cells.join(" | "));
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}

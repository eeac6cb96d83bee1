//! Policies against baselines, on the same load and seeds.
